package daemon

import (
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/auburndyke/auburndyke/internal/configlog"
	"github.com/auburndyke/auburndyke/internal/mesh"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// announce spreads a revision that is in force here. Daemons that already
// have the base get a delta, so that a change costs its own size and not the
// document's.
func (c *cluster) announce(previous, doc configlog.Document) {
	full := ports.Change{Revision: doc.Revision, Digest: xxhash.Sum64(doc.Content), Document: doc.Content}
	change := full
	if data, ok := encodeDelta(previous, doc); ok {
		change.Base = previous.Revision
		change.Document = data
	}
	c.mailbox.post(func() {
		c.learn(doc)
		c.submit(mesh.LocalChange{Change: change})
		c.submit(mesh.Snapshot{Change: full})
	})
}

func encodeDelta(previous, doc configlog.Document) ([]byte, bool) {
	if previous.Revision == 0 || previous.Revision >= doc.Revision {
		return nil, false
	}
	delta := configlog.DeltaBetween(previous.Content, doc.Content)
	if delta == nil {
		return nil, false
	}
	data, err := cbor.Marshal(delta)
	return data, err == nil
}

// receiveChange offers a revision from a peer to the configuration log's
// follower, which never goes to a lower one.
func (c *cluster) receiveChange(a mesh.DeliverChange) {
	content := a.Change.Document
	if a.Change.Base != 0 {
		var ok bool
		if content, ok = c.applyDelta(a); !ok {
			return
		}
	}
	if xxhash.Sum64(content) != a.Change.Digest {
		c.rejectChange(a, "the content does not have the stated digest")
		return
	}
	doc := configlog.Document{Revision: a.Change.Revision, Digest: configlog.DigestOf(content), Content: content}
	c.learn(doc)
	go c.daemon.watcher.Offer(c.ctx, a.From, doc)
}

// learn remembers the newest document, so that the next delta applies even
// while the follower is still busy with this one.
func (c *cluster) learn(doc configlog.Document) {
	if doc.Revision > c.latest.Revision {
		c.latest = doc
	}
}

func (c *cluster) applyDelta(a mesh.DeliverChange) ([]byte, bool) {
	if c.latest.Revision != a.Change.Base {
		// The follower polls the platform, which closes the gap.
		go c.daemon.watcher.Announce(c.ctx, a.From, a.Change.Revision)
		return nil, false
	}
	var delta configlog.Delta
	if err := cbor.Unmarshal(a.Change.Document, &delta); err != nil {
		c.rejectChange(a, "the delta cannot be decoded")
		return nil, false
	}
	content, err := delta.Apply(c.latest.Content)
	if err != nil {
		c.rejectChange(a, err.Error())
		return nil, false
	}
	return content, true
}

func (c *cluster) rejectChange(a mesh.DeliverChange, reason string) {
	c.daemon.cfg.Log.Event(telemetry.ConfigurationRejected).Uint64("revision", uint64(a.Change.Revision)).
		Str("from", string(a.From)).Str("reason", reason).Msg("")
}
