package drain

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/mesh"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// RecordPrefix is the key prefix of drain records.
const RecordPrefix = "drain/"

// Record is the durable form of a drain.
type Record struct {
	Upstream    domain.UpstreamID  `json:"upstream"`
	Incarnation domain.Incarnation `json:"incarnation"`
	Epoch       uint64             `json:"epoch"`
	Phase       Phase              `json:"phase"`
	// Deadline is in Unix seconds. Zero means that there is none.
	Deadline int64 `json:"deadline,omitempty"`
}

// RecordKey returns the key of an upstream's drain record.
func RecordKey(id domain.UpstreamID) string { return RecordPrefix + string(id) }

// ParseRecord decodes a drain row.
func ParseRecord(r ports.Row) (Record, error) {
	var rec Record
	if err := json.Unmarshal(r.Value, &rec); err != nil {
		return Record{}, fmt.Errorf("drain row %s: %w", r.Key, err)
	}
	if RecordKey(rec.Upstream) != r.Key {
		return Record{}, fmt.Errorf("drain row %s names upstream %q", r.Key, rec.Upstream)
	}
	return rec, nil
}

func (r Record) fact(now time.Time) ports.Fact {
	f := ports.Fact{
		Kind: ports.FactUpstreamLeaving, Upstream: r.Upstream, Incarnation: r.Incarnation,
		Epoch: r.Epoch, Deadline: r.Deadline, Stamp: mesh.StampAt(now),
	}
	switch r.Phase {
	case Serving:
		f.Kind = ports.FactUpstreamServing
	case Gone:
		f.Kind = ports.FactUpstreamGone
	}
	return f
}

func (r Record) write(version ports.Version) ports.Write {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // a struct of strings and numbers always encodes
	}
	return ports.Write{Key: RecordKey(r.Upstream), Value: data, Expect: version}
}
