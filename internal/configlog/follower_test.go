package configlog

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", cmp.Or(os.Getenv("AUBURNDYKE_TEST_SEED"), "1")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func document(r domain.Revision) Document {
	content := fmt.Appendf(nil, "revision %d", r)
	return Document{Revision: r, Digest: DigestOf(content), Content: content}
}

// Guards against a revision that goes back or is not the accepted one, polls
// and fetches that overlap or come faster than the floor, and a daemon that
// becomes unready again, in any order of events (I8).
func TestFollowerNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := NewFollower("self", "leinster", rand.New(rand.NewPCG(1, 1)))
		now := time.Unix(1_000_000, 0)
		var inForce domain.Revision
		var lastPoll time.Time
		polling, fetching, ready := false, false, false
		for range 100 {
			r := domain.Revision(rapid.IntRange(1, 12).Draw(t, "revision"))
			doc := document(r)
			var event FollowEvent = Tick{}
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			case 1:
				doc.Content = []byte("damaged")
				event = Offered{"peer", doc}
			case 2:
				event = Offered{"peer", doc}
			case 3:
				event = Announced{"peer", r}
			case 4:
				if polling {
					event = rapid.SampledFrom([]HeadPolled{{Head: &Head{r, doc.Digest}}, {Err: ports.ErrUnavailable}}).Draw(t, "head")
					polling = false
				}
			case 5:
				if fetching {
					event = Fetched{Document: doc}
					fetching = false
				}
			}
			for _, action := range f.Step(now, event) {
				switch a := action.(type) {
				case Enforce:
					if a.Document.Revision <= inForce || string(a.Document.Content) != string(document(a.Document.Revision).Content) {
						t.Fatalf("revision %d with %q after %d", a.Document.Revision, a.Document.Content, inForce)
					}
					inForce = a.Document.Revision
				case PollHead:
					if polling || now.Sub(lastPoll) < pollFloor {
						t.Fatalf("poll at %v after %v", now, lastPoll)
					}
					polling, lastPoll = true, now
				case Fetch:
					if fetching || a.Target.Revision <= inForce {
						t.Fatalf("fetch of %d with %d in force", a.Target.Revision, inForce)
					}
					fetching = true
				}
			}
			if ready && !f.Readiness().Ready {
				t.Fatalf("unready again: %s", f.Readiness().Reason)
			}
			ready = f.Readiness().Ready
		}
	})
}

// Guards against a delta that does not restore the document, or that damages
// memory when it is applied to another one.
func FuzzDelta(f *testing.F) {
	f.Add([]byte("a=1\nb=2\n"), []byte("a=1\nb=3\n"))
	f.Add([]byte(""), []byte("aa"))
	f.Add([]byte("aaa"), []byte("aa"))
	f.Fuzz(func(t *testing.T, from, to []byte) {
		d := DeltaBetween(from, to)
		if d == nil {
			return
		}
		if got, err := d.Apply(from); err != nil || string(got) != string(to) {
			t.Fatalf("got %q, %v", got, err)
		}
		_, _ = d.Apply(to)
	})
}
