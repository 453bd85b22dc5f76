package peers

import (
	"cmp"
	"net"
	"slices"
	"time"

	"github.com/auburndyke/auburndyke/internal/follow"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

const (
	// groupSize is the number of daemons for which one reads the platform's
	// tables. One datagram to each of them every interval is about 3 KB/s.
	groupSize = 16
	// minGroup is the smallest group of which one daemon reads for the others.
	// In a smaller one the calls saved are not worth depending on another daemon.
	minGroup = 4
	// coverLife is how long a daemon relies on the reader of its group after
	// hearing it: two lost datagrams.
	coverLife = 2*interval + 200*time.Millisecond
	// readerWait is how long a call of a reader waits for a change. The group
	// relies on it, so it notices a silent platform sooner than others.
	readerWait = 2 * time.Second
	// soloWait is the same for a daemon that reads for itself.
	soloWait = 5 * time.Second
	// coverRefusal is how long a daemon reads for itself after it could not read
	// its reader's copy.
	coverRefusal = 5 * time.Second
)

// group is the daemons that share a reader, best first. The first one that
// reaches the platform reads for those behind it. A daemon that hears nobody
// better reads for itself and, if it reaches the platform, for those behind it,
// so that nobody is elected and a reader that ends, freezes or is cut off is
// replaced after coverLife.
type group struct {
	// behind are the daemons for which this one reads.
	behind []string
	// better are the daemons that may read for this one.
	better map[string]bool
}

// newGroup finds the group of a daemon among those of its zone. All daemons
// that know the same list form the same groups.
func newGroup(self string, zone []string) group {
	slices.SortFunc(zone, func(a, b string) int {
		return cmp.Or(cmp.Compare(Hash(a), Hash(b)), cmp.Compare(a, b))
	})
	groups := (len(zone) + groupSize - 1) / groupSize
	at := slices.Index(zone, self)
	if at < 0 {
		return group{}
	}
	var members []string
	for i := at % groups; i < len(zone); i += groups {
		members = append(members, zone[i])
	}
	if len(members) < minGroup {
		return group{}
	}
	own := slices.Index(members, self)
	g := group{behind: members[own+1:], better: make(map[string]bool)}
	for _, address := range members[:own] {
		g.better[address] = true
	}
	return g
}

// cover is the daemon that reads a table for this one.
type cover struct {
	reader string
	until  time.Time
	// refused is until when no reader is relied on.
	refused time.Time
}

// DelegatedFor returns for how long another daemon reads a table for this one.
func (n *Node) DelegatedFor(table string, now time.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cover[table].until.Sub(now)
}

// NotifyChange tells the group at once that a copy has changed.
func (n *Node) NotifyChange() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// noteReader relies on a better daemon of the group that reads a table, unless
// its copy is behind this one or does not reach back to it.
func (n *Node) noteReader(now time.Time, state TableState, sender string) {
	table := n.Tables[state.Name]
	if table == nil || state.AsOf == 0 {
		return
	}
	asOf := ports.Version(state.AsOf)
	own := table.Versions()
	n.mu.Lock()
	held := n.cover[state.Name]
	// The reader must know all changes behind this copy: the whole table is too
	// much for one daemon to send to its group.
	within := ports.Version(state.From) <= own.AsOf && own.AsOf <= asOf && own.AsOf > 0
	accepted := within && n.group.better[sender] && !now.Before(held.refused)
	before := held.reader
	if accepted {
		n.cover[state.Name] = cover{reader: sender, until: now.Add(coverLife)}
	}
	n.mu.Unlock()
	if !accepted {
		return
	}
	if before != sender {
		n.logReader(state.Name, sender, own.AsOf)
	}
	if changed := ports.Version(state.Changed); changed <= own.AsOf {
		// The reader knows of no change that this copy lacks.
		table.OfferChanges(own.AsOf, nil, follow.Versions{AsOf: asOf, Changed: changed})
	}
}

func (n *Node) logReader(table, reader string, asOf ports.Version) {
	n.Log.Event(telemetry.TableReaderChanged).Str("table", table).Str("reader", reader).
		Uint64("as_of", uint64(asOf)).Send()
}

// patience is how long a change that a peer has is awaited from elsewhere.
func (n *Node) patience(now time.Time, state TableState, sender string) time.Duration {
	if c := n.cover[state.Name]; c.reader == sender && now.Before(c.until) {
		return 0
	}
	return lagPatience
}

// refuse ends the cover of a table whose reader's copy could not be read. The
// caller holds mu.
func (n *Node) refuse(now time.Time, table string) {
	n.cover[table] = cover{refused: now.Add(coverRefusal)}
}

// readFor returns the tables that the daemon reads for its group, and sets how
// long its calls to the platform wait.
func (n *Node) readFor(now time.Time) (tables []TableState, behind []string) {
	var lost []string
	n.mu.Lock()
	behind = n.group.behind
	covered := make(map[string]bool, len(n.cover))
	for name, c := range n.cover {
		covered[name] = now.Before(c.until)
		if !covered[name] && c.reader != "" {
			n.cover[name] = cover{refused: c.refused}
			lost = append(lost, name)
		}
	}
	n.mu.Unlock()
	for _, name := range lost {
		n.logReader(name, "", n.Tables[name].Versions().AsOf)
	}
	for name, table := range n.Tables {
		if len(behind) == 0 || covered[name] {
			table.SetWait(soloWait)
			continue
		}
		table.SetWait(readerWait)
		if !table.ReadsPlatform(now) {
			continue
		}
		v := table.Versions()
		tables = append(tables, TableState{Name: name, Changed: uint64(v.Changed), AsOf: uint64(v.AsOf), From: uint64(v.From)})
	}
	return tables, behind
}

// sendGroup tells the daemons behind this one how far its copies reach.
func (n *Node) sendGroup(now time.Time, socket *net.UDPConn) {
	tables, behind := n.readFor(now)
	if len(tables) == 0 {
		return
	}
	data, err := encode(&Message{Sender: n.Address, Tables: tables})
	if err != nil {
		n.Log.Event(telemetry.PeerMessageRejected).Err(err).Send()
		return
	}
	for _, target := range behind {
		n.sendTo(socket, target, data)
	}
}
