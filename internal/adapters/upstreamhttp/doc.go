// Package upstreamhttp sends HTTP/1.1 requests to upstreams over pooled
// connections and says exactly what happened to a request that failed.
//
// It does not use the transport of net/http, which resends some requests by
// itself on a connection that went stale. Here a request is written at most
// once, and a failure tells whether any byte of it may have reached the
// upstream. A connection returns to its pool only if the request was written
// in full, the answer was read in full and no further byte followed it.
package upstreamhttp
