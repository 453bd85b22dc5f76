package peers

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/auburndyke/auburndyke/internal/backoff"
	"github.com/auburndyke/auburndyke/internal/follow"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

const (
	// directoryInterval is how often the directory is read again. A daemon that
	// lost all its peers finds them by it.
	directoryInterval = time.Minute
	// directoryStart is the pause before the second reading, which finds the
	// daemons that started at the same moment.
	directoryStart = 3 * time.Second
	// directoryRetry is the pause after the directory could not be reached.
	directoryRetry = 2 * time.Second
	// directoryTimeout bounds one call to the directory.
	directoryTimeout = 2 * time.Second
	// goneTime is how long a daemon of the directory may be silent before its row
	// is removed. Of 330 daemons each hears every other one about every minute
	// and a half. Regions that lose each other for longer remove each other's rows;
	// a daemon whose row is missing writes it again.
	goneTime = 2 * time.Hour
)

// Directory is a table of the platform with one row for each daemon.
type Directory interface {
	follow.Reader
	// Put writes one row, whatever it held.
	Put(ctx context.Context, key string, value []byte) error
	// Remove removes a row unless it has changed since it was read.
	Remove(ctx context.Context, row ports.Row) error
}

// member is a row of the directory.
type member struct {
	Address string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint,omitempty"`
}

// keepDirectory announces the daemon, reads who else is there and removes who has
// been gone for long.
func (n *Node) keepDirectory(ctx context.Context) {
	announced := false
	next := directoryStart
	for {
		wait := next
		if err := n.visitDirectory(ctx, &announced); err != nil {
			n.Log.Event(telemetry.PeerDirectoryFailed).Err(err).Send()
			wait = directoryRetry
		} else {
			next = directoryInterval
		}
		if !backoff.Sleep(ctx, wait/2+time.Duration(n.readRand.Int64N(int64(wait)))) {
			return
		}
	}
}

func (n *Node) visitDirectory(ctx context.Context, announced *bool) error {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	if !*announced {
		value, err := cbor.Marshal(member{n.Address, n.Zone})
		if err != nil {
			return err
		}
		if err := n.Directory.Put(ctx, n.Daemon, value); err != nil {
			return err
		}
		*announced = true
	}
	rows, _, err := follow.ReadAll(ctx, n.Directory, n.readRand)
	if err != nil {
		return err
	}
	own, gone := n.takeDirectory(time.Now(), rows)
	*announced = own
	// One daemon or so removes a row at a time.
	if len(gone) > 0 && n.readRand.IntN(len(rows)) == 0 {
		return n.removeGone(ctx, gone[n.readRand.IntN(len(gone))])
	}
	return nil
}

// takeDirectory takes the rows of the directory. It reports whether the daemon's
// own is among them, and which belong to daemons that have been gone for long.
func (n *Node) takeDirectory(now time.Time, rows []ports.Row) (own bool, gone []ports.Row) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var zone []string
	seen := make(map[string]time.Time, len(rows))
	n.listed = 0
	for _, row := range rows {
		var m member
		if err := cbor.Unmarshal(row.Value, &m); err != nil {
			n.Log.Event(telemetry.PeerMessageRejected).Err(err).Str("row", row.Key).Send()
			continue
		}
		n.listed++
		n.state.AddPeer(m.Address, now)
		if m.Zone == n.Zone {
			zone = append(zone, m.Address)
		}
		if row.Key == n.Daemon {
			own = m.Address == n.Address
			continue
		}
		heard, listed := n.seen[m.Address]
		if !listed {
			heard = now
		}
		seen[m.Address] = heard
		if now.Sub(heard) >= goneTime {
			gone = append(gone, row)
		}
	}
	n.seen = seen
	n.group = newGroup(n.Address, zone)
	return own, gone
}

func (n *Node) removeGone(ctx context.Context, row ports.Row) error {
	err := n.Directory.Remove(ctx, row)
	line := n.Log.Event(telemetry.PeerRowRemoved)
	if err != nil {
		line.Err(err)
	}
	line.Str("row", row.Key).Uint64("row_version", uint64(row.Version)).Int64("silent_s", int64(goneTime.Seconds())).Send()
	return err
}
