package quarantine

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/domain"
)

var (
	request      = WholeRequest(7)
	otherRequest = WholeRequest(8)
	thirdRequest = WholeRequest(9)
)

// Guards against sound requests that are refused because they share a part of the prompt,
// which others use, with a request that crashes upstreams, and against a part that is not
// found because each request with it is another one.
func TestRepeatedRequestTakesTheBlameAlone(t *testing.T) {
	r := newTracker(1)
	r.Sound(at(-1), []Part{shared, otherRequest})
	r.crash(0, "a", Begun, []Part{shared, request})
	assert.Assert(t, !r.blocks(0.5, shared, request), "one crash is no proof")
	r.crash(1, "b", Begun, []Part{shared, request})
	assert.Assert(t, r.blocks(2, shared, request))
	assert.Assert(t, !r.blocks(2, shared, otherRequest))

	r.crash(3, "c", Begun, []Part{shared, otherRequest})
	r.crash(3.5, "d", Begun, []Part{shared, otherRequest})
	assert.Assert(t, r.blocks(4, shared, thirdRequest), "two requests share the part")
	r.Sound(at(5), []Part{shared, thirdRequest})
	assert.Assert(t, !r.blocks(6, shared, thirdRequest))
	assert.Assert(t, r.blocks(6, shared, request), "the request itself is not sound")
}

// Guards against a fleet that does not learn of a request which callers repeat at any
// daemon, and against a daemon that keeps all requests it has served.
func TestDaemonsShareEvidenceAgainstRequests(t *testing.T) {
	a, b, c := newTracker(1), newTracker(2), newTracker(3)
	for i := range 3 * maxSound {
		c.Sound(at(0), []Part{WholeRequest(uint64(i + 100))})
	}
	assert.Equal(t, len(c.sound), 0)
	a.crash(1, "x", Begun, []Part{request})
	exchange(at(1.1), a, b, c)
	b.crash(2, "y", Begun, []Part{request})
	exchange(at(2.1), a, b, c)
	for _, r := range []*recorder{a, b, c} {
		last, suspected := r.Suspected(request)
		assert.Assert(t, suspected && !last.Before(at(1.9)), "%v", last)
		_, suspected = r.Suspected(otherRequest)
		assert.Assert(t, !suspected)
		assert.Assert(t, r.blocks(3, request) && !r.blocks(3, otherRequest))
	}
	c.Sound(at(4), []Part{request})
	exchange(at(4.1), a, b, c)
	for _, r := range []*recorder{a, b, c} {
		_, suspected := r.Suspected(request)
		assert.Assert(t, !suspected && !r.blocks(5, request))
	}
}

// Guards against a request that is refused because it was sent again while a zone was
// being lost, also if the daemon hears of the other upstreams only afterwards.
func TestLossOfUpstreamsBlocksNoRequest(t *testing.T) {
	lost := func(r *recorder, seconds float64) {
		for i := range lossCrashes {
			r.crash(seconds+float64(i)/100, domain.UpstreamID(fmt.Sprintf("%v-%d", seconds, i)), Begun, []Part{WholeRequest(uint64(1000*seconds) + uint64(i))})
		}
	}
	known := newTracker(1)
	lost(known, 1)
	known.crash(1.05, "a", Begun, []Part{shared, request})
	known.crash(1.5, "b", Begun, []Part{shared, request})
	assert.Assert(t, !known.blocks(2, shared, request))

	later := newTracker(2)
	later.crash(1.05, "a", Begun, []Part{shared, request})
	later.crash(1.5, "b", Begun, []Part{shared, request})
	assert.Assert(t, later.blocks(1.6, shared, request))
	lost(later, 1)
	assert.Assert(t, !later.blocks(2, shared, request))
	later.crash(10, "c", Begun, []Part{shared, request})
	assert.Assert(t, later.blocks(11, shared, request), "two crashes that nothing else explains")
}
