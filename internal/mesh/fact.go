package mesh

import (
	"cmp"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// register names what a fact is about. Facts of one register replace each
// other in a total order.
type register struct {
	class    registerClass
	upstream domain.UpstreamID
	daemon   domain.DaemonID
	drain    drainKey
}

// drainKey is set for acknowledgements. An upstream's fact and a daemon's fact
// each make some of them obsolete, and no total order over drains and runs
// agrees with both, so acknowledgements of different drains or runs do not
// replace each other.
type drainKey struct {
	incarnation domain.Incarnation
	epoch       uint64
	run         domain.Incarnation
}

type registerClass uint8

const (
	classRevision registerClass = iota + 1
	classUpstream
	classDaemon
	classAck
	classSuspicion
)

// registerOf returns false for a fact that is malformed or of a kind that
// this version does not know.
func registerOf(f *ports.Fact) (register, bool) {
	switch f.Kind {
	case ports.FactRevision:
		return register{class: classRevision}, true
	case ports.FactUpstreamServing, ports.FactUpstreamLeaving, ports.FactUpstreamGone:
		return register{class: classUpstream, upstream: f.Upstream}, f.Upstream != ""
	case ports.FactDaemonJoined, ports.FactDaemonGone:
		if f.Member == nil {
			return register{}, false
		}
		return register{class: classDaemon, daemon: f.Member.Daemon}, f.Member.Daemon != ""
	case ports.FactDrainAck:
		if f.Member == nil {
			return register{}, false
		}
		r := register{
			class: classAck, upstream: f.Upstream, daemon: f.Member.Daemon,
			drain: drainKey{incarnation: f.Incarnation, epoch: f.Epoch, run: f.Member.Incarnation},
		}
		return r, f.Member.Daemon != "" && f.Upstream != ""
	case ports.FactDaemonTrusted, ports.FactDaemonSuspect:
		if f.Member == nil {
			return register{}, false
		}
		return register{class: classSuspicion, daemon: f.Member.Daemon}, f.Member.Daemon != ""
	}
	return register{}, false
}

// compareFacts is the total order within one register, without Stamp.
func compareFacts(a, b *ports.Fact) int {
	switch a.Kind {
	case ports.FactRevision:
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Digest, b.Digest))
	case ports.FactUpstreamServing, ports.FactUpstreamLeaving, ports.FactUpstreamGone:
		return compareUpstream(a, b)
	case ports.FactDaemonJoined, ports.FactDaemonGone:
		return compareDaemon(a, b)
	case ports.FactDaemonTrusted, ports.FactDaemonSuspect:
		return compareSuspicion(a, b)
	default:
		return compareAck(a, b)
	}
}

// compareUpstream lets leaving win over serving at the same epoch: of two
// concurrent orders the one that stops new work is the safe one.
func compareUpstream(a, b *ports.Fact) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		compareBool(a.Kind == ports.FactUpstreamGone, b.Kind == ports.FactUpstreamGone),
		cmp.Compare(a.Epoch, b.Epoch),
		cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(a.Deadline, b.Deadline),
	)
}

func compareDaemon(a, b *ports.Fact) int {
	return cmp.Or(
		cmp.Compare(a.Member.Incarnation, b.Member.Incarnation),
		cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(a.Seq, b.Seq),
		cmp.Compare(a.Member.Address, b.Member.Address),
		cmp.Compare(a.Member.Region, b.Member.Region),
		cmp.Compare(a.Member.Zone, b.Member.Zone),
	)
}

func compareAck(a, b *ports.Fact) int {
	return cmp.Or(cmp.Compare(a.Seq, b.Seq), cmp.Compare(a.InProgress, b.InProgress))
}

func compareSuspicion(a, b *ports.Fact) int {
	return cmp.Or(
		cmp.Compare(a.Member.Incarnation, b.Member.Incarnation),
		cmp.Compare(a.Seq, b.Seq),
		cmp.Compare(a.Kind, b.Kind),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// hashRegister places a register in a bucket.
func hashRegister(r register) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write([]byte{byte(r.class)})
	_, _ = d.WriteString(string(r.upstream))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(r.daemon))
	if r.class == classAck {
		var buf [24]byte
		binary.LittleEndian.PutUint64(buf[0:], uint64(r.drain.incarnation))
		binary.LittleEndian.PutUint64(buf[8:], r.drain.epoch)
		binary.LittleEndian.PutUint64(buf[16:], uint64(r.drain.run))
		_, _ = d.Write(buf[:])
	}
	return d.Sum64()
}

// hashFact covers everything but Stamp, so that a refresh that one daemon
// missed does not count as a difference.
func hashFact(r register, f *ports.Fact) uint64 {
	numbers := [8]uint64{
		hashRegister(r), uint64(f.Kind), uint64(f.Incarnation), f.Epoch,
		uint64(f.Deadline), f.Seq, uint64(f.InProgress), uint64(f.Revision) ^ f.Digest,
	}
	var buf [64]byte
	for i, n := range numbers {
		binary.LittleEndian.PutUint64(buf[8*i:], n)
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(buf[:])
	if m := f.Member; m != nil {
		binary.LittleEndian.PutUint64(buf[:8], uint64(m.Incarnation))
		_, _ = d.Write(buf[:8])
		for _, s := range [...]string{m.Address, string(m.Region), string(m.Zone)} {
			_, _ = d.WriteString(s)
			_, _ = d.Write([]byte{0})
		}
	}
	return d.Sum64()
}

// Supersedes reports whether a replaces b, two facts about the same subject.
func Supersedes(a, b ports.Fact) bool { return compareFacts(&a, &b) > 0 }
