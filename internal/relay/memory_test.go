package relay_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/platform/standin"
)

// Guards against successes that lose the header of their upstream while responses that
// are being read take all the memory for them, whether they have a length or not.
func TestResponsesKeepTheirHeaderWithoutMemory(t *testing.T) {
	for name, b := range map[string]standin.Behaviour{
		"length":       {},
		"unframed":     {Unframed: true},
		"server error": {Status: http.StatusInternalServerError},
	} {
		for _, path := range []string{"/once/", "/again/"} {
			t.Run(name+path, func(t *testing.T) {
				s := startRelay(t, 2)
				s.handler.SetResponseMemoryLimit(1)
				s.setBehaviour(b)
				got := s.do(s.request(http.MethodPost, path, "r1", "x"))
				assert.NilError(t, got.err)
				assert.Assert(t, strings.HasPrefix(got.header.Get("X-Replica-Seal"), "replica-"), "status %d, header %v", got.status, got.header)
				assert.Equal(t, got.header.Get("X-Attempt-Id"), "r1")
				assert.Equal(t, got.header.Get("Content-Length"), strconv.Itoa(len(got.body)))
				assert.Equal(t, got.body, fmt.Sprintf("answer of %s to r1", got.header.Get("X-Replica-Seal")))
			})
		}
	}
}

// Guards against long responses that keep the memory for responses until they end,
// although what was read of them has been relayed.
func TestLongResponsesReleaseMemory(t *testing.T) {
	s := startRelay(t, 1)
	s.handler.SetResponseMemoryLimit(300 << 10)
	// Each of them is read up to 256 KB and then goes on.
	endless := startRaw(t, soundHead+"\r\n", strings.Repeat("x", 32<<10), 5*time.Millisecond)
	s.registerRaw([]*rawUpstream{endless})
	for i := range 4 {
		go func() {
			resp, err := http.DefaultClient.Do(s.request(http.MethodPost, "/once/", fmt.Sprintf("long%d", i), "x"))
			if err == nil {
				time.Sleep(time.Second)
				_ = resp.Body.Close()
			}
		}()
	}
	time.Sleep(500 * time.Millisecond)
	assert.Assert(t, s.handler.ResponseMemory() < 64<<10, "%d bytes are reserved", s.handler.ResponseMemory())
}
