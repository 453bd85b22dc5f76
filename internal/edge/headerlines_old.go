//go:build !go1.27

package edge

import "net/http"

// allowHeaderLines has no effect: net/http before Go 1.27 has no limit on header lines.
func allowHeaderLines(*http.Server, int) {}
