package virtualtime

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a crash of the race detector: 64 goroutines start timers that
// are due at once. On several processors the process ends with SIGSEGV within
// a tenth of a second.
func TestTimersThatAreDue(t *testing.T) {
	const goroutines, timers = 64, 500
	Test(t, func(t *testing.T) {
		var fired, done sync.WaitGroup
		fired.Add(goroutines * timers)
		for range goroutines {
			done.Go(func() {
				for range timers {
					time.AfterFunc(0, fired.Done)
				}
			})
		}
		done.Wait()
		fired.Wait()
	})
}

// Guards against tests that use bubbles directly and so crash now and then
// under the race detector.
func TestBubblesAreStartedHere(t *testing.T) {
	const root = "../../.."
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.Contains(path, "virtualtime") {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		assert.Check(t, !strings.Contains(string(text), "synctest."+"Test("), "%s calls synctest directly", path)
		return nil
	})
	assert.NilError(t, err)
}
