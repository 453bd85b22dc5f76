//go:build go1.27

package edge

import "net/http"

// allowHeaderLines sets the number of header lines that a server accepts to one that no
// header of n bytes reaches. By default net/http of Go 1.27 refuses more than 500, while
// the configuration has no such limit; the guard bounds the memory of lines instead.
func allowHeaderLines(s *http.Server, n int) { s.MaxHeaderValueCount = n }
