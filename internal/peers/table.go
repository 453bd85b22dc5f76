package peers

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/contain"
	"github.com/auburndyke/auburndyke/internal/follow"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

const (
	// platformGrace is how long a daemon waits for a change to come from the
	// platform after a peer has announced it, beyond the time for which the daemon
	// collects changes of the table.
	platformGrace = 500 * time.Millisecond
	// failingGrace is the same while the platform does not respond to the daemon.
	failingGrace = 100 * time.Millisecond
	// fetchTimeout is the timeout of a read of a peer's copy.
	fetchTimeout = time.Second
	// maxCopyHeaderBytes limits the header of a response with a copy.
	maxCopyHeaderBytes = 32 << 10
	// maxCopyBytes limits the size of a peer's copy.
	maxCopyBytes = 16 << 20
	// maxFullCopies is the number of full copies, and of changes of at least
	// largeCopyBytes, that are sent concurrently. At 3,000 upstreams, a full copy
	// takes a second of the slowest link (10 Mbit/s) and some megabytes of memory.
	maxFullCopies = 2
	// largeCopyBytes takes 25 ms of the slowest link.
	largeCopyBytes = 32 << 10
	// maxCopyPeers limits the peer addresses that are sent with a copy.
	maxCopyPeers = 16
	// behindAlarm is how long a daemon may know that its copy lacks a change before it
	// logs it. It is below the tightest bound on a configuration.
	behindAlarm = 2 * time.Second
	// TablePath is the HTTP route at which daemons read each other's copies.
	TablePath = "/peers/tables/:name"
)

// Table is a copy of a table of the platform. Daemons help each other to keep it
// current while the platform rejects the calls of some of them.
type Table interface {
	Versions() follow.Versions
	Snapshot() follow.Snapshot
	// Offer replaces the copy by another daemon's if that has a change that this
	// one lacks. It reports whether it did.
	Offer(follow.Snapshot) bool
	// Since returns the rows that changed after a version. It reports false if
	// the copy does not know all of them.
	Since(after ports.Version) ([]ports.Row, follow.Versions, bool)
	// OfferChanges applies changes from another daemon's copy. It reports
	// whether it did.
	OfferChanges(after ports.Version, rows []ports.Row, v follow.Versions) bool
	// ReadsPlatform reports whether the copy is currently read from the platform
	// itself.
	ReadsPlatform(now time.Time) bool
	// Age returns the time since the platform last showed this daemon that the copy had
	// all changes.
	Age(now time.Time) time.Duration
	// Unavailable reports whether there is no copy yet and the platform appears
	// to be unavailable.
	Unavailable(now time.Time) bool
	// CoalesceDelay is how long after a change the daemon collects further ones
	// before it reads them.
	CoalesceDelay() time.Duration
	// Refresh makes the follower ask the platform now instead of at the end of a pause
	// or a delegation.
	Refresh()
	// RepeatCall ends a call to the platform that has not responded, and makes it
	// again.
	RepeatCall()
	// SetWait sets how long calls to the platform wait for a change.
	SetWait(follow.Wait)
}

// lag describes a change that peers have and this daemon lacks.
type lag struct {
	changed  ports.Version
	since    time.Time
	peer     string
	fetching bool
}

// backlog records for how long a daemon has known that its copy of a table lacks a
// change, and how it tried to get it.
type backlog struct {
	since   time.Time
	changed ports.Version
	// reads and failed count the attempts to read a peer's copy.
	reads, failed int
	logged        bool
}

// tableCopy is the response to a peer's request for a table.
type tableCopy struct {
	AsOf    uint64    `cbor:"1,keyasint"`
	Changed uint64    `cbor:"2,keyasint"`
	Rows    []copyRow `cbor:"3,keyasint"`
	// Partial means that Rows holds only the changes after the requested
	// version.
	Partial bool `cbor:"4,keyasint,omitempty"`
	// Peers are addresses at which daemons receive datagrams, for a daemon that
	// can't read the directory.
	Peers []string `cbor:"5,keyasint,omitempty"`
}

type copyRow struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Value   []byte
	Version uint64
	Removed bool
}

// tableStates returns the versions of the daemon's copies for a message.
func (n *Node) tableStates() []TableState {
	var out []TableState
	for name, table := range n.Tables {
		out = append(out, TableState{Name: name, Changed: uint64(table.Versions().Changed)})
	}
	return out
}

// compareTables records which changes a peer has and this daemon lacks, and
// fetches the peer's copy if a change has not come from the platform in time.
func (n *Node) compareTables(ctx context.Context, now time.Time, m *Message) {
	for _, state := range m.Tables {
		table := n.Tables[state.Name]
		if table == nil || m.Sender == "" {
			continue
		}
		changed := ports.Version(state.Changed)
		n.mu.Lock()
		l := n.lags[state.Name]
		if table.Versions().AsOf >= l.changed {
			l = lag{fetching: l.fetching}
		}
		// A change that the group reader announces is fetched from it, in this zone.
		fromReader := n.fetchDelay(now, state, m.Sender) == 0
		if table.Versions().AsOf < changed && (changed > l.changed || fromReader) {
			if l.since.IsZero() {
				l.since = now
			}
			l.changed, l.peer = max(changed, l.changed), m.Sender
		}
		fetch := !l.since.IsZero() && !l.fetching && now.Sub(l.since) >= n.fetchDelay(now, state, m.Sender)
		l.fetching = l.fetching || fetch
		n.lags[state.Name] = l
		n.updateBacklog(now, state.Name, changed)
		n.mu.Unlock()
		if fetch {
			go n.fetch(ctx, state.Name, l)
		}
	}
}

// updateBacklog records that a peer has the change of the given version. The caller
// holds mu.
func (n *Node) updateBacklog(now time.Time, name string, changed ports.Version) {
	b, asOf := n.backlogs[name], n.Tables[name].Versions().AsOf
	if asOf >= b.changed {
		b = backlog{}
	}
	if changed > asOf {
		b.changed = max(b.changed, changed)
		if b.since.IsZero() {
			b.since = now
		}
	}
	if !b.logged && !b.since.IsZero() && now.Sub(b.since) >= behindAlarm {
		b.logged = true
		n.Log.Event(telemetry.TableBehind).Str("table", name).Uint64("as_of", asOf.Number()).Uint64("changed", b.changed.Number()).
			Int64("behind_ms", now.Sub(b.since).Milliseconds()).Int("reads", b.reads).Int("failed", b.failed).
			Str("reader", n.delegations[name].reader).Send()
	}
	n.backlogs[name] = b
}

// countRead counts an attempt to read a peer's copy.
func (n *Node) countRead(name string, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := n.backlogs[name]
	b.reads++
	if err != nil {
		b.failed++
	}
	n.backlogs[name] = b
}

func (n *Node) fetch(ctx context.Context, name string, l lag) {
	var adopted bool
	err := contain.Do(n.Log, "a peer's copy", func() (err error) {
		adopted, err = n.fetchCopy(ctx, name, l.peer)
		return err
	})
	line := n.Log.Event(telemetry.PeerCopyRead)
	if err != nil {
		line.Err(err)
	}
	line.Str("table", name).Str("peer", l.peer).Bool("taken", adopted).
		Uint64("changed", l.changed.Number()).Int64("lag_ms", time.Since(l.since).Milliseconds()).Send()
	n.countRead(name, err)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lags[name] = lag{}
	delegation := n.delegations[name]
	if err != nil {
		// The platform gives the change to each daemon at once. Another peer may be as
		// slow as this one, from which many read.
		n.blockDelegation(time.Now(), name)
		n.Tables[name].Refresh()
	}
	if adopted && !time.Now().Before(delegation.expires) {
		// The daemon's own call should have returned the change.
		n.Tables[name].RepeatCall()
	}
}

// copyClient reads copies of tables from peers, too rarely to keep connections.
var copyClient = &http.Client{Transport: &http.Transport{
	DisableKeepAlives: true, MaxResponseHeaderBytes: maxCopyHeaderBytes,
}}

func (n *Node) fetchCopy(ctx context.Context, name, peer string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	after := n.Tables[name].Versions().AsOf
	url := "http://" + peer + "/peers/tables/" + name + "?after=" + strconv.FormatUint(uint64(after), 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, err
	}
	resp, err := copyClient.Do(req)
	if err != nil {
		return false, eris.Wrap(err, "reading the peer's copy of the table")
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read
	if resp.StatusCode != http.StatusOK {
		return false, eris.Errorf("peer returned status %d", resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxCopyBytes))
	if err != nil {
		return false, eris.Wrap(err, "reading the peer's copy of the table")
	}
	var c tableCopy
	if err := cbor.Unmarshal(data, &c); err != nil {
		return false, eris.Wrap(err, "decoding the peer's copy of the table")
	}
	n.addPeers(c.Peers)
	rows := c.rows()
	versions := follow.Versions{AsOf: ports.Version(c.AsOf), Changed: ports.Version(c.Changed)}
	if c.Partial {
		return n.Tables[name].OfferChanges(after, rows, versions), nil
	}
	return n.Tables[name].Offer(follow.NewSnapshot(rows, versions)), nil
}

// rows returns the rows of the copy.
func (c *tableCopy) rows() []ports.Row {
	rows := make([]ports.Row, 0, len(c.Rows))
	for _, r := range c.Rows {
		rows = append(rows, ports.Row{Key: r.Key, Value: r.Value, Version: ports.Version(r.Version), Deleted: r.Removed})
	}
	return rows
}

func (n *Node) addPeers(addresses []string) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, address := range addresses {
		n.state.AddPeer(address, now)
	}
}

// knownPeers returns this daemon's address and those of recently heard peers.
func (n *Node) knownPeers() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	heard := n.state.recentPeers(time.Now())
	return append([]string{n.Address}, heard[:min(len(heard), maxCopyPeers)]...)
}

// ServeTable handles a peer's request for a copy of a table.
func (n *Node) ServeTable(c echo.Context) error {
	table := n.Tables[c.Param("name")]
	if table == nil {
		return c.NoContent(http.StatusNotFound)
	}
	after, err := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	rows, versions, partial := table.Since(ports.Version(after))
	if !partial || rowBytes(rows) >= largeCopyBytes {
		select {
		case n.fullCopies <- struct{}{}:
			defer func() { <-n.fullCopies }()
		default:
			return c.NoContent(http.StatusServiceUnavailable)
		}
	}
	if !partial {
		s := table.Snapshot()
		rows, versions = s.Rows(), s.Versions
	}
	out := tableCopy{AsOf: uint64(versions.AsOf), Changed: uint64(versions.Changed), Partial: partial, Peers: n.knownPeers()}
	for _, r := range rows {
		out.Rows = append(out.Rows, copyRow{Key: r.Key, Value: r.Value, Version: uint64(r.Version), Removed: r.Deleted})
	}
	data, err := cbor.Marshal(out)
	if err != nil {
		return eris.Wrap(err, "encoding the copy of the table")
	}
	return c.Blob(http.StatusOK, "application/cbor", data)
}

// rowBytes returns the approximate size of encoded rows.
func rowBytes(rows []ports.Row) int {
	size := 0
	for _, r := range rows {
		size += len(r.Key) + len(r.Value)
	}
	return size
}
