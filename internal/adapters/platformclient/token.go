package platformclient

import (
	"os"
	"strings"

	"github.com/rotisserie/eris"
)

// FileToken returns a Token function that reads a bearer token from a file at
// each call, so that a replaced file takes effect at once.
func FileToken(path string) func() (string, error) {
	return func() (string, error) {
		raw, err := os.ReadFile(path)
		if err != nil {
			return "", eris.Wrap(err, "bearer token file")
		}
		token := strings.TrimSpace(string(raw))
		if token == "" {
			return "", eris.Errorf("bearer token file %s is empty", path)
		}
		return token, nil
	}
}
