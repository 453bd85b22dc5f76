// Package connlimit decides which connections of untrusted callers are closed, so that
// all connections together, and all request headers together, stay within limits. It
// does no input or output: Account is told what happens to connections, and Meter is
// shown the bytes that arrive on one.
package connlimit
