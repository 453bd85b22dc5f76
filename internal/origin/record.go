package origin

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

const (
	// streamBytes is the encoded size of a stream: its key, the index of its origin and
	// the seconds for which it is remembered.
	streamBytes = 8 + 1 + 1
	// maxRecordStreams bounds the streams of a record, which must fit into a row.
	maxRecordStreams = 3000
	// maxRecordOrigins is the number of origins that an index can name.
	maxRecordOrigins = math.MaxUint8 + 1
)

// record is the content of a daemon's row.
type record struct {
	_ struct{} `cbor:",toarray"`
	// Written is the Unix second at which the row was written, by the daemon's clock.
	Written int64
	// Mixed names the services that have several versions in service.
	Mixed   []string
	Origins []Origin
	// Streams holds streamBytes for each stream.
	Streams []byte
}

// encode returns the record of the streams of services with several versions, those first
// that are remembered the longest, and the number of changes that it covers. A service that
// only others say to be mixed is not named in it, so that daemons don't keep each other's
// word alive.
func (b *Book) encode(now time.Time) (data []byte, changes uint64, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	r := record{Written: now.Unix()}
	for service := range b.listed {
		if len(b.inService(now, service)) > 1 {
			r.Mixed = append(r.Mixed, service)
		}
	}
	slices.Sort(r.Mixed)
	keys := make([]key, 0, len(b.streams))
	for k, s := range b.streams {
		if slices.Contains(r.Mixed, s.origin.Service) || b.reportedMixed(now, s.origin.Service) {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(x, y key) int { return b.streams[y].until.Compare(b.streams[x].until) })
	for _, k := range keys[:min(len(keys), maxRecordStreams)] {
		s := b.streams[k]
		index := slices.Index(r.Origins, s.origin)
		if index < 0 {
			if index = len(r.Origins); index == maxRecordOrigins {
				continue
			}
			r.Origins = append(r.Origins, s.origin)
		}
		r.Streams = binary.BigEndian.AppendUint64(r.Streams, uint64(k))
		left := math.Ceil(s.until.Sub(now).Seconds())
		r.Streams = append(r.Streams, byte(index), byte(min(left, math.MaxUint8)))
	}
	data, err = cbor.Marshal(&r)
	return data, b.changes, eris.Wrap(err, "encoding the origins of streams")
}

func decodeRecord(data []byte) (*record, error) {
	var r record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return nil, eris.Wrap(err, "decoding the origins of streams")
	}
	return &r, nil
}

// each calls f for each stream of the record, which is remembered for a time from now on.
func (r *record) each(f func(k key, o Origin, left time.Duration)) {
	for data := r.Streams; len(data) >= streamBytes; data = data[streamBytes:] {
		if index := int(data[8]); index < len(r.Origins) {
			f(key(binary.BigEndian.Uint64(data)), r.Origins[index], time.Duration(data[9])*time.Second)
		}
	}
}

// adopt adds the streams of a record that an earlier process of the daemon has written.
func (b *Book) adopt(now time.Time, r *record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.each(func(k key, o Origin, left time.Duration) {
		if _, known := b.streams[k]; !known && len(b.streams) < maxStreams {
			b.streams[k] = stream{o, now.Add(min(left, Memory))}
		}
	})
	b.changes++
}
