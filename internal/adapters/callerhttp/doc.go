// Package callerhttp serves callers over the usual HTTP protocol of
// language-model services: chat completions and completions, streamed with
// server-sent events or whole, the list of models, and plain services.
//
// Every error answer says in the Auburndyke-Outcome header whether the request
// ran. Inputs are bounded: header and body size, one write timeout for slow
// callers, and a limit on connections per customer in the gateway.
package callerhttp
