package relay_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/platform/standin"
)

// Guards against an upstream's error that reaches the caller in the middle of a stream,
// and against a stream that looks complete because of it.
func TestErrorOnResumptionIsNoPartOfTheStream(t *testing.T) {
	for _, status := range []int{
		http.StatusNoContent, http.StatusPartialContent, http.StatusBadRequest, http.StatusNotFound,
		http.StatusConflict, http.StatusInternalServerError, http.StatusServiceUnavailable,
	} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			s := startRelay(t, 2)
			s.replicas[0].Set(standin.Behaviour{Events: 8, CutAfter: 3})
			s.replicas[1].Set(standin.Behaviour{Status: status})
			broken := 0
			for i := range 4 {
				id := fmt.Sprintf("r%d", i)
				got := s.do(s.request(http.MethodPost, "/resume/", id, "x"))
				if got.status != http.StatusOK || !strings.HasPrefix(got.body, "id:") {
					continue // the first upstream was the one with the error
				}
				broken++
				assert.Equal(t, got.body, wantEvents(id, 1, 3))
				assert.Assert(t, got.err != nil, "the stream looks complete")
			}
			assert.Assert(t, broken > 0)
		})
	}
}

// Guards against an error on resumption that ends a stream which a third upstream would
// have completed.
func TestStreamResumesPastAnError(t *testing.T) {
	s := startRelay(t, 3)
	s.setBehaviour(standin.Behaviour{Events: 8, CutAfter: 3})
	s.replicas[2].Set(standin.Behaviour{Status: http.StatusBadRequest})
	for i := range 6 {
		id := fmt.Sprintf("r%d", i)
		got := s.do(s.request(http.MethodPost, "/resume/", id, "x"))
		if got.status == http.StatusOK {
			assert.Assert(t, strings.HasPrefix(got.body, wantEvents(id, 1, 3)) && !strings.Contains(got.body, "answer of"), got.body)
		}
	}
}

// Guards against a refusal that an upstream writes once more on a kept connection and
// that is taken for the answer to a later request, which has run.
func TestRepeatedRefusalIsOfAnEarlierRequest(t *testing.T) {
	for name, withoutID := range map[string]bool{"with the earlier id": false, "without an id": true} {
		t.Run(name, func(t *testing.T) {
			s := startRelay(t, 1)
			s.setBehaviour(standin.Behaviour{RefuseThenRepeat: true, WithoutID: withoutID, Work: 20 * time.Millisecond})
			for i := range 12 {
				id := fmt.Sprintf("r%d", i)
				got := s.do(s.request(http.MethodPost, "/once/", id, "x"))
				ran := 0
				for _, run := range s.replicas[0].Runs() {
					if run.ID == id {
						ran++
					}
				}
				assert.Assert(t, ran <= 1, "%s ran %d times", id, ran)
				switch got.status {
				case http.StatusOK:
					assert.Equal(t, got.body, "answer of replica-0 to "+id)
				case http.StatusServiceUnavailable:
					assert.Equal(t, ran, 0, "%s was refused and has run", id)
				default:
					assert.Equal(t, got.status, http.StatusBadGateway)
				}
				time.Sleep(30 * time.Millisecond)
			}
			assert.Assert(t, s.executions() > 0)
		})
	}
}
