package replay

import (
	"bytes"
	"os"
	"testing"
)

// FuzzReadTrace guards against trace files that crash the reader, and against
// traces that it accepts but cannot write and read again.
func FuzzReadTrace(f *testing.F) {
	data, err := os.ReadFile("../../testdata/traces/fryline-morning.ndjson")
	if err != nil {
		f.Fatal(err)
	}
	lines := bytes.SplitAfterN(data, []byte("\n"), 6)
	f.Add(bytes.Join(lines[:5], nil))
	f.Add([]byte(`{"format":1}` + "\n"))
	f.Add([]byte("{\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		trace, err := ReadTrace(bytes.NewReader(data))
		if err != nil {
			return
		}
		var out bytes.Buffer
		if err := trace.Write(&out); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadTrace(&out); err != nil {
			t.Fatalf("written trace cannot be read: %v", err)
		}
	})
}
