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
	// groupSize is the largest number of daemons for which one of them reads the
	// platform's tables. One datagram to each of them every gossipInterval is
	// about 3 KB/s.
	groupSize = 16
	// minGroup is the smallest group that has a group reader. In a smaller one
	// the calls saved are not worth the dependency on another daemon.
	minGroup = 4
	// delegationTTL is how long the first daemon that may succeed a group reader relies
	// on it after a datagram from it. It tolerates two lost datagrams.
	delegationTTL = 2*gossipInterval + 200*time.Millisecond
	// passOnAge is how old a reader's announcement may be when it is passed on. A
	// reader that ends is noticed that much later.
	passOnAge = 300 * time.Millisecond
	// readerWait is how long a group reader's call to the platform waits for a
	// change at most. The group depends on the reader, so it has to notice sooner
	// than others that the platform is silent.
	readerWait = 2 * time.Second
	// soloWait is the same for a daemon that reads only for itself.
	soloWait = 5 * time.Second
	// delegationBackoff is how long a daemon reads a table itself after a failed
	// read of a peer's copy.
	delegationBackoff = 5 * time.Second
)

// group holds the daemons of a zone from which a daemon gets the platform's
// tables, and those to which it passes them on, in a fixed ranking. The
// highest-ranked daemon that reaches the platform reads for those ranked below
// it. A daemon that hears from no higher-ranked one reads for itself and, if it
// reaches the platform, for those below it. No election is needed, and a reader
// that ends, freezes or is partitioned is replaced after delegationTTL.
//
// A zone with more daemons than a group has several groups. Their highest-ranked
// daemons form a group of their own, so that one daemon reads for the whole zone;
// the others pass its announcements on to their groups as they arrive. Readers
// have lower hashes than those that they read for, whatever list of the zone each
// of them knows, so that no two daemons rely on each other.
type group struct {
	// dependents are the lower-ranked daemons, for which this one reads.
	dependents []string
	// members are the dependents in the group whose highest-ranked daemon this one
	// is. It passes the announcements of the zone's reader on to them, and to nobody
	// else, so that each announcement reaches a daemon once.
	members []string
	// readers are the higher-ranked daemons, which may read for this one.
	readers map[string]bool
}

// newGroup returns the group of a daemon among those of its zone. Daemons that
// know the same list form the same groups.
func newGroup(self string, zone []string) group {
	if len(zone) < minGroup {
		return group{}
	}
	slices.SortFunc(zone, func(a, b string) int {
		return cmp.Or(cmp.Compare(Hash(a), Hash(b)), cmp.Compare(a, b))
	})
	at := slices.Index(zone, self)
	if at < 0 {
		return group{}
	}
	groups := (len(zone) + groupSize - 1) / groupSize
	g := group{readers: make(map[string]bool)}
	g.add(zone, at, groups)
	if at < groups {
		g.members = slices.Clone(g.dependents)
		// The daemons at the first positions are the highest-ranked of each group.
		g.add(zone[:groups], at, (groups+groupSize-1)/groupSize)
	}
	return g
}

// add adds the members of the group that the daemon at a position of the ranking
// belongs to, if the ranking is divided into that many groups.
func (g *group) add(ranking []string, at, groups int) {
	for i := at % groups; i < len(ranking); i += groups {
		switch {
		case i < at:
			g.readers[ranking[i]] = true
		case i > at:
			g.dependents = append(g.dependents, ranking[i])
		}
	}
}

// delegation records which daemon reads a table for this one.
type delegation struct {
	reader  string
	expires time.Time
	// acceptedAt is when the reader's last announcement arrived, and readAt the time as of
	// which the platform had shown the reader all changes.
	acceptedAt, readAt time.Time
	// blockedUntil is the time until which this daemon accepts no reader.
	blockedUntil time.Time
}

// DelegatedFor returns for how much longer this daemon relies on another one to
// read a table. When all daemons start together, each waits for its reader.
func (n *Node) DelegatedFor(table string, now time.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	expires := n.delegations[table].expires
	if n.awaitsReader && n.startHoldEnds.After(expires) {
		expires = n.startHoldEnds
	}
	return expires.Sub(now)
}

// ForgetReaders ends all delegations. It is used after a pause of the process, whose
// readers may have announced changes meanwhile.
func (n *Node) ForgetReaders() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.delegations)
}

// NotifyChange makes the daemon announce its tables to its group at once,
// because a copy has changed.
func (n *Node) NotifyChange() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// notifyAnnounced makes the daemon pass an announcement of its reader on.
func (n *Node) notifyAnnounced() {
	select {
	case n.announced <- struct{}{}:
	default:
	}
}

// acceptReader delegates the reading of a table to a higher-ranked daemon of the
// group that announces it, unless that daemon's copy lacks a change of this one or
// its change history does not reach back to it.
func (n *Node) acceptReader(now time.Time, state TableState, sender string) {
	table := n.Tables[state.Name]
	if table == nil || state.AsOf == 0 {
		return
	}
	asOf := ports.Version(state.AsOf)
	own := table.Versions()
	n.mu.Lock()
	current := n.delegations[state.Name]
	// The reader must know all changes since this copy's version: the full table
	// is too large for one daemon to send to its whole group. It may have asked the
	// platform less recently than this daemon, if it lacks none of its changes.
	covers := own.AsOf > 0 && ports.Version(state.From) <= own.AsOf && own.Changed <= asOf
	// Nor may it lack a change that other peers have.
	covers = covers && n.backlogs[state.Name].changed <= asOf
	readAt := now.Add(-state.Age)
	turn := turnOf(len(n.group.readers))
	left := n.relianceOn(state.Name).maxAge(turn) - state.Age
	// A reader that the platform no longer answers must not take the place of the one that
	// has succeeded it.
	older := now.Before(current.expires) && sender != current.reader && readAt.Before(current.readAt)
	accepted := covers && n.group.readers[sender] && !now.Before(current.blockedUntil) && left > 0 && !older
	previous := current.reader
	if accepted {
		expires := now.Add(min(delegationTTL+turn, left))
		n.delegations[state.Name] = delegation{reader: sender, expires: expires, acceptedAt: now, readAt: readAt}
		complete := ports.Version(state.Changed) <= own.AsOf
		n.recordAnnouncement(state.Name, sender, expires, readAt, complete)
	}
	n.mu.Unlock()
	if !accepted {
		return
	}
	if previous != sender {
		n.logReaderChange(state.Name, sender, own.AsOf)
	}
	n.notifyAnnounced()
	if changed := ports.Version(state.Changed); changed <= own.AsOf {
		// The reader has no change that this copy lacks.
		table.OfferChanges(own.AsOf, nil, follow.Versions{AsOf: asOf, Changed: changed})
	}
}

func (n *Node) logReaderChange(table, reader string, asOf ports.Version) {
	n.Log.Event(telemetry.TableReaderChanged).Str("table", table).Str("reader", reader).
		Uint64("as_of", asOf.Number()).Send()
}

// fetchDelay is how long to wait for a change that a peer has to come from the
// platform before it is fetched from the peer. It is zero for the group reader.
// The caller holds mu.
func (n *Node) fetchDelay(now time.Time, state TableState, sender string) time.Duration {
	c := n.delegations[state.Name]
	if c.reader == sender && now.Before(c.expires) {
		return 0
	}
	table := n.Tables[state.Name]
	if !now.Before(c.expires) && !table.ReadsPlatform(now) {
		return failingGrace
	}
	return table.CoalesceDelay() + platformGrace
}

// blockDelegation ends the delegation of a table after a failed read of a peer's
// copy. The caller holds mu.
func (n *Node) blockDelegation(now time.Time, table string) {
	n.delegations[table] = delegation{blockedUntil: now.Add(delegationBackoff)}
}

// tablesReadForGroup returns the tables that the daemon reads for its group, and
// the daemons that depend on it. It also drops expired delegations and sets how
// long calls to the platform wait for a change.
func (n *Node) tablesReadForGroup(now time.Time) (tables []TableState, dependents []string) {
	var expired []string
	n.mu.Lock()
	dependents = n.group.dependents
	delegated := make(map[string]bool, len(n.delegations))
	for name, c := range n.delegations {
		delegated[name] = now.Before(c.expires)
		if !delegated[name] && c.reader != "" {
			n.delegations[name] = delegation{blockedUntil: c.blockedUntil}
			expired = append(expired, name)
		}
	}
	n.mu.Unlock()
	for _, name := range expired {
		n.logReaderChange(name, "", n.Tables[name].Versions().AsOf)
	}
	for name, table := range n.Tables {
		if len(dependents) == 0 || delegated[name] {
			table.SetWait(follow.Wait{Call: soloWait})
			continue
		}
		table.SetWait(follow.Wait{Call: readerWait, SinceAnswer: n.relianceOn(name).answerInterval()})
		if table.ReadsPlatform(now) && !n.behind(name) {
			tables = append(tables, describeTable(name, table, table.Age(now)))
		}
	}
	return tables, dependents
}

// behind reports whether the daemon knows that its copy of a table lacks a change.
func (n *Node) behind(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.backlogs[name].changed > n.Tables[name].Versions().AsOf
}

// tablesPassedOn returns the tables that another daemon reads for this one and has
// just announced, and the daemons to which they are passed on.
func (n *Node) tablesPassedOn(now time.Time) (tables []TableState, members []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, d := range n.delegations {
		if now.Before(d.expires) && now.Sub(d.acceptedAt) <= passOnAge {
			tables = append(tables, describeTable(name, n.Tables[name], now.Sub(d.readAt)))
		}
	}
	return tables, n.group.members
}

// describeTable says which versions the daemon's copy of a table covers, and how old the
// knowledge is of the daemon that reads it.
func describeTable(name string, table Table, age time.Duration) TableState {
	v := table.Versions()
	return TableState{Name: name, Changed: uint64(v.Changed), AsOf: uint64(v.AsOf), From: uint64(v.From), Age: age}
}

// announceToGroup sends the versions of the tables that this daemon reads to the
// daemons that depend on it.
func (n *Node) announceToGroup(now time.Time, socket *net.UDPConn) {
	tables, dependents := n.tablesReadForGroup(now)
	n.announce(socket, tables, dependents)
}

// passOn sends what another daemon has just announced to this one to the daemons for
// which this one passes it on. It is done only then, so that no daemon relies on a
// reader for much longer than delegationTTL after the reader's last announcement.
func (n *Node) passOn(now time.Time, socket *net.UDPConn) {
	tables, members := n.tablesPassedOn(now)
	n.announce(socket, tables, members)
}

func (n *Node) announce(socket *net.UDPConn, tables []TableState, targets []string) {
	if len(tables) == 0 || len(targets) == 0 {
		return
	}
	data, err := encodeAnnouncement(n.Address, tables)
	if err != nil {
		n.Log.Event(telemetry.PeerMessageRejected).Err(err).Send()
		return
	}
	for _, target := range targets {
		n.sendTo(socket, target, data)
	}
}
