// Package platformclient is the HTTP/JSON client of the platform's table
// service, object store, weight store and VM list (docs/design.md, section 7).
//
// It maps failures to what is known about their effect: ErrUnavailable only if
// nothing can have happened, ErrUnknownOutcome for every other failed write.
// Reads are retried with jittered backoff. Writes are sent once; whoever made
// them reads again to learn their outcome.
package platformclient
