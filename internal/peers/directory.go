package peers

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/auburndyke/auburndyke/internal/backoff"
	"github.com/auburndyke/auburndyke/internal/contain"
	"github.com/auburndyke/auburndyke/internal/follow"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

const (
	// directoryInterval is the mean time between two reads of the directory. A
	// daemon that lost all its peers finds them again by reading it. 330 daemons
	// make three reads a second.
	directoryInterval = 2 * time.Minute
	// registrationSpread is the span over which the daemons of a first start, or of a
	// restored platform, register. The platform takes about 200 transactions a second.
	registrationSpread = 1500 * time.Millisecond
	// firstReadDelay and firstReadSpread are when the daemons of a first start read
	// the directory, after they have registered.
	firstReadDelay  = time.Second
	firstReadSpread = time.Second
	// startHold is how long after a first start a daemon waits for a reader. It
	// covers the reading of the directory and two announcements.
	startHold = registrationSpread + firstReadDelay + firstReadSpread + 2*gossipInterval
	// secondReadDelay is the mean pause before the next read of a daemon whose row
	// was missing, which finds the daemons that started at the same time.
	secondReadDelay = 3 * time.Second
	// directoryRetry is the mean pause after a failed read or write of the
	// directory.
	directoryRetry = 2 * time.Second
	// directoryTimeout is the timeout of one synchronization with the directory,
	// with all its calls.
	directoryTimeout = 2 * time.Second
	// staleRowAge is how long a daemon in the directory may be silent before its
	// row is removed. Of 330 daemons each hears every other one about every 90
	// seconds. Regions that are partitioned for longer than this remove each
	// other's rows; a daemon whose row is missing writes it again.
	staleRowAge = 2 * time.Hour
)

// Directory is a table of the platform with one row per daemon.
type Directory interface {
	follow.Reader
	// Put writes a row unconditionally.
	Put(ctx context.Context, key string, value []byte) error
	// Remove deletes a row unless it has changed since it was read.
	Remove(ctx context.Context, row ports.Row) error
}

// directoryEntry is the value of a row of the directory.
type directoryEntry struct {
	Address string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint,omitempty"`
}

// maintainDirectory registers the daemon, reads the other daemons' rows and
// removes stale ones, until ctx ends.
func (n *Node) maintainDirectory(ctx context.Context) {
	if n.FirstStart {
		if err := n.registerFirst(ctx); err != nil && ctx.Err() == nil {
			// The reading that follows finds the row missing and writes it.
			n.Log.Event(telemetry.PeerDirectoryFailed).Err(err).Send()
		}
	}
	for {
		returned, risen := n.Contact.Returned(), n.Era.Risen()
		registered := false
		err := contain.Do(n.Log, "the directory", func() (err error) {
			registered, err = n.syncDirectory(ctx)
			return err
		})
		if ctx.Err() != nil {
			return
		}
		next := secondReadDelay
		if registered {
			next = directoryInterval
		}
		wait := next
		if err != nil {
			n.recordContact(err)
			n.Log.Event(telemetry.PeerDirectoryFailed).Err(err).Send()
			wait = directoryRetry
		} else {
			n.recordContact(nil)
			returned = nil
		}
		timer := time.NewTimer(wait/2 + time.Duration(n.directoryRand.Int64N(int64(wait))))
		select {
		case <-timer.C:
		case <-returned: // nil unless the directory could not be read
			timer.Stop()
			backoff.Sleep(ctx, time.Until(n.Contact.ReturnedAt().Add(n.returnDelay())))
		case <-risen:
			// The row may be gone, and the platform may not list the daemon to those that
			// start from now on.
			timer.Stop()
			backoff.Sleep(ctx, time.Duration(n.directoryRand.Int64N(int64(registrationSpread))))
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// recordContact records whether the platform responded to the last call.
func (n *Node) recordContact(err error) {
	if err == nil || errors.Is(err, ports.ErrThrottled) {
		n.Contact.Responded(time.Now())
		return
	}
	n.Contact.Failed()
}

// holdAtStart makes a daemon of a first start wait for its reader.
func (n *Node) holdAtStart(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.awaitsReader, n.startHoldEnds = n.FirstStart, now.Add(startHold)
}

// returnDelay returns how long after the platform's return the directory is read.
func (n *Node) returnDelay() time.Duration {
	spread := n.ReturnSpread()
	if spread <= 0 {
		return 0
	}
	return time.Duration(n.directoryRand.Int64N(int64(spread)))
}

// syncDirectory reads the directory and registers the daemon if its row is missing.
// registered reports whether the row was there before: the daemons of a fleet that
// restarts find each other with one reading.
func (n *Node) syncDirectory(ctx context.Context) (registered bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	rows, _, err := follow.ReadAll(ctx, n.Directory, n.directoryRand)
	if err != nil {
		return false, err
	}
	registered, stale := n.applyDirectory(time.Now(), rows)
	if !registered {
		return false, n.register(ctx)
	}
	// About one daemon in the fleet removes a row per read interval.
	if len(stale) > 0 && n.directoryRand.IntN(len(rows)) == 0 {
		return true, n.removeStaleRow(ctx, stale[n.directoryRand.IntN(len(stale))])
	}
	return true, nil
}

// register writes the daemon's row.
func (n *Node) register(ctx context.Context) error {
	value, err := cbor.Marshal(directoryEntry{n.Address, n.Zone})
	if err != nil {
		return err
	}
	return n.Directory.Put(ctx, n.Daemon, value)
}

// registerFirst registers a daemon of a first start, and waits until the others have
// registered.
func (n *Node) registerFirst(ctx context.Context) error {
	if !backoff.Sleep(ctx, time.Duration(n.directoryRand.Int64N(int64(registrationSpread)))) {
		return ctx.Err()
	}
	call, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	err := n.register(call)
	backoff.Sleep(ctx, firstReadDelay+time.Duration(n.directoryRand.Int64N(int64(firstReadSpread))))
	return err
}

// applyDirectory takes over the rows of the directory and forms the daemon's
// group. It reports whether the daemon's own row is among them, and returns the
// rows of daemons that have been silent for staleRowAge.
func (n *Node) applyDirectory(now time.Time, rows []ports.Row) (own bool, stale []ports.Row) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var zone []string
	lastHeard := make(map[string]time.Time, len(rows))
	n.directorySize = 0
	for _, row := range rows {
		var m directoryEntry
		if err := cbor.Unmarshal(row.Value, &m); err != nil {
			n.Log.Event(telemetry.PeerMessageRejected).Err(err).Str("row", row.Key).Send()
			continue
		}
		n.directorySize++
		n.state.AddPeer(m.Address, now)
		if m.Zone == n.Zone {
			zone = append(zone, m.Address)
		}
		if row.Key == n.Daemon {
			own = m.Address == n.Address
			continue
		}
		heard, listed := n.lastHeard[m.Address]
		if !listed {
			heard = now
		}
		lastHeard[m.Address] = heard
		if now.Sub(heard) >= staleRowAge {
			stale = append(stale, row)
		}
	}
	n.lastHeard, n.inDirectory = lastHeard, own
	n.zonePeers = slices.Clone(zone)
	if n.directoryReadAt.IsZero() {
		n.directoryReadAt = now
	}
	n.group = newGroup(n.Address, zone)
	if len(n.group.readers) == 0 {
		n.awaitsReader = false
	}
	return own, stale
}

func (n *Node) removeStaleRow(ctx context.Context, row ports.Row) error {
	err := n.Directory.Remove(ctx, row)
	line := n.Log.Event(telemetry.PeerRowRemoved)
	if err != nil {
		line.Err(err)
	}
	line.Str("row", row.Key).Uint64("row_version", uint64(row.Version)).Int64("silent_s", int64(staleRowAge.Seconds())).Send()
	return err
}
