package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// restore replaces the row by one of an older copy, in a later era.
func (s *script) restore(era, number uint64, row *Record) {
	s.t.Helper()
	version, err := ports.NewVersion(era, number)
	assert.NilError(s.t, err)
	s.row, s.version = row, version
}

func heldBy(daemon domain.DaemonID, token domain.FencingToken) *Record {
	return &Record{Holder: Owner{Daemon: daemon, Incarnation: 1}, Token: token, Term: 4 * time.Second, WriteID: "earlier"}
}

// Guards against a renewal that replaces another holder's row, whose version has been
// given out twice, and extends the term.
func TestRenewalOfAnotherEraGrantsNothing(t *testing.T) {
	s := newScript(t, "a", 1)
	s.step(Tick{})
	token := s.lease.Term().Token
	s.restore(1, s.version.Number(), heldBy("b", token+5))
	s.now = s.now.Add(1400 * time.Millisecond)
	var lost []Action
	for _, action := range s.lease.Step(s.now, Tick{}) {
		commit := action.(CommitRow)
		assert.Equal(t, commit.Write.Expect.Number(), s.version.Number())
		version, err := ports.NewVersion(1, 9)
		assert.NilError(t, err)
		lost = s.lease.Step(s.now, Committed{Version: version})
	}
	assert.Assert(t, !s.held())
	assert.Equal(t, lost[0].(Lost).Token, token)
	s.restore(1, 9, heldBy("a", token))
	s.step(RowRead{Record: s.row, Version: s.version})
	term := s.lease.Term()
	assert.Assert(t, term.Token >= domain.FencingToken(s.version)-1, "token %d", term.Token)
	assert.Equal(t, term.TakenOverAt, s.now)
}

// Guards against a first holder that takes over a row which the table has lost while its
// write was on the way.
func TestFirstWriteOfAnotherEraGrantsNothing(t *testing.T) {
	s := newScript(t, "a", 1)
	actions := s.lease.Step(s.now, Tick{})
	assert.Equal(t, len(actions), 1)
	actions = s.lease.Step(s.now, RowRead{})
	assert.Equal(t, len(actions), 1)
	version, err := ports.NewVersion(1, 1)
	assert.NilError(t, err)
	s.lease.Step(s.now, Committed{Version: version})
	assert.Assert(t, !s.held())
}

// Guards against a table that answers as of an earlier era and so shows a released lease.
func TestAnswersOfAnEarlierEraAreIgnored(t *testing.T) {
	s := newScript(t, "a", 1)
	s.restore(2, 10, heldBy("b", 7))
	s.step(Tick{})
	s.restore(1, 12, &Record{Token: 6, Term: 4 * time.Second})
	s.run(20 * time.Second)
	assert.Assert(t, !s.held())
	s.restore(2, 13, &Record{Token: 7, Term: 4 * time.Second})
	s.run(10 * time.Second)
	assert.Assert(t, s.held())
	assert.Assert(t, s.lease.Term().Token >= 2<<44)
}

// Guards against a holder that goes on with its token although another one may have held
// the lease in the era between.
func TestHolderStopsAfterTwoRestorations(t *testing.T) {
	for eras, keeps := range map[uint64]bool{1: true, 2: false} {
		s := newScript(t, "a", 1)
		s.step(Tick{})
		token := s.lease.Term().Token
		s.put(*s.row)
		s.restore(eras, s.version.Number(), s.row)
		s.now = s.now.Add(1400 * time.Millisecond)
		s.step(Tick{})
		assert.Assert(t, s.held())
		assert.Equal(t, s.lease.Term().Token == token, keeps, "%d eras later", eras)
		assert.Equal(t, s.lease.Term().TakenOverAt.IsZero(), keeps, "%d eras later", eras)
	}
}
