// Package engineclient speaks the upstream protocol of docs/design.md to one
// engine or plain service over net/http.
//
// It exists to tell precisely what is known about a failed attempt. ErrNotSent
// is returned only if no byte of the request was written, ErrRefused only for
// 429 and 503 with X-Not-Run: true. Every other failure wraps ErrStreamBroken,
// because the attempt may have run.
//
// Streams are checked event by event: each event must carry the attempt's id
// and the next index, and the stream must end with a finish reason, a matching
// token count and [DONE].
package engineclient
