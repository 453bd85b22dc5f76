package connlimit_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/connlimit"
	"github.com/auburndyke/auburndyke/internal/relay"
	"github.com/auburndyke/auburndyke/platform"
)

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}

const start = "POST /x HTTP/1.1\r\nHost: h.example\r\n"

func fill(line func(i int) string) string {
	var b strings.Builder
	for i := 0; b.Len() < 64_000; i++ {
		b.WriteString(line(i))
	}
	return b.String()
}

// Guards against headers that hold more memory than they are charged for: decoded by
// net/http, copied for an upstream, and written.
func TestCostCoversDecodedHeaders(t *testing.T) {
	const copies = 20
	for name, header := range map[string]string{
		"short names":    start + fill(func(i int) string { return fmt.Sprintf("%04x:\r\n", i) }),
		"shortest names": start + fill(func(i int) string { return fmt.Sprintf("%c%c:\n", 'a'+i%26, 'a'+i/26%26) }),
		"three letters":  start + fill(func(i int) string { return fmt.Sprintf("%c%c%c:\n", 'a'+i%26, 'a'+i/26%26, 'a'+i/676%26) }),
		"one name":       start + strings.Repeat("a:\n", 21_000),
		"one name, text": start + strings.Repeat("a:b\n", 16_000),
		"long lines":     start + fill(func(i int) string { return fmt.Sprintf("X-%04d: %0120d\r\n", i, i) }),
		"one line":       start + "X-A: " + strings.Repeat("v", 64_000) + "\r\n",
		"folded":         start + "X-A: b\r\n" + strings.Repeat(" v\r\n", 16_000),
		"trailers":       start + "Transfer-Encoding: chunked\r\nTrailer: a" + fill(func(i int) string { return fmt.Sprintf(",%03x", i) }) + "\r\n",
		"prompt":         start + "X-Prompt-Prefix: 1:1" + fill(func(i int) string { return fmt.Sprintf(",%x:1", i) }) + "\r\n",
	} {
		header += "\r\n"
		var m connlimit.Meter
		m.Add([]byte(header))
		before := heap()
		var kept []any
		for range copies {
			r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(header)))
			assert.NilError(t, err, name)
			info := platform.Protocol{}.ParseRequest(r.Header)
			forwarded := platform.Protocol{}.ForwardHeader(r.Header, relay.ForwardInfo{Upstream: "u"})
			var b bytes.Buffer
			assert.NilError(t, forwarded.Write(&b))
			kept = append(kept, r, info, forwarded, &b)
		}
		held := (heap() - before) / copies
		runtime.KeepAlive(kept)
		t.Logf("%-15s %7d bytes, %8d held, %8d charged", name, len(header), held, m.Cost())
		assert.Check(t, held <= m.Cost(), "%s: %d bytes held, %d charged", name, held, m.Cost())
		assert.Check(t, m.Cost() <= connlimit.MaxCost(len(header)), name)
	}
}
