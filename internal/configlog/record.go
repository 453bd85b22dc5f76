package configlog

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

const (
	headKey        = "config/head"
	revisionPrefix = "config/rev/"
	changePrefix   = "config/change/"
	objectPrefix   = "config/content/"
)

// Digest is the SHA-256 of a document in hexadecimal.
type Digest string

// DigestOf returns the digest of a document.
func DigestOf(content []byte) Digest {
	sum := sha256.Sum256(content)
	return Digest(hex.EncodeToString(sum[:]))
}

// Sum64 returns the first 64 bits of the digest, for facts and frames between
// daemons. It is zero when the digest is malformed.
func (d Digest) Sum64() uint64 {
	sum, err := hex.DecodeString(string(d))
	if err != nil || len(sum) != sha256.Size {
		return 0
	}
	return binary.BigEndian.Uint64(sum)
}

// Document is the content of one revision.
type Document struct {
	Revision domain.Revision `cbor:"1,keyasint" json:"revision"`
	Digest   Digest          `cbor:"2,keyasint" json:"digest"`
	Content  []byte          `cbor:"3,keyasint" json:"content"`
}

// Verify reports whether the content has the digest that the document states.
func (d Document) Verify() error {
	if got := DigestOf(d.Content); got != d.Digest {
		return eris.Errorf("revision %d has digest %s, but its content has %s", d.Revision, d.Digest, got)
	}
	return nil
}

// Head names the newest revision. It is the value of the row config/head,
// which every daemon polls, and holds nothing else to keep the poll small.
type Head struct {
	Revision domain.Revision `json:"revision"`
	Digest   Digest          `json:"digest"`
}

// Record describes one revision. It is the value of a row config/rev/N.
type Record struct {
	Revision domain.Revision `json:"revision"`
	ChangeID string          `json:"change_id"`
	Author   string          `json:"author"`
	Time     time.Time       `json:"time"`
	Message  string          `json:"message,omitempty"`
	// Base is the revision that the author edited. It is lower than
	// Revision-1 when the change was merged.
	Base   domain.Revision `json:"base"`
	Digest Digest          `json:"digest"`
	// Delta turns the content of Revision-1 into the content of Revision. It
	// is nil when it would be large or has been compacted.
	Delta *Delta `json:"delta,omitempty"`
}

// Object returns the name of the object that holds the full document. The
// object exists for each revision, with or without a delta.
func (r Record) Object() string { return objectName(r.Digest) }

// Receipt remembers under its change id that a change was accepted. It is
// the value of a row config/change/<id>.
type Receipt struct {
	Revision domain.Revision `json:"revision"`
	// Digest is the digest of the accepted content, after any merge.
	Digest Digest `json:"digest"`
	// Proposed is the digest of the content as proposed.
	Proposed Digest `json:"proposed"`
	Merged   bool   `json:"merged,omitempty"`
}

func objectName(d Digest) string { return objectPrefix + string(d) }

func changeKey(id string) string { return changePrefix + id }

// revisionKey pads the number so that key order is revision order.
func revisionKey(r domain.Revision) string { return fmt.Sprintf("%s%012d", revisionPrefix, r) }

func encodeRow(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		// The row types hold only strings, numbers and times.
		panic(err)
	}
	return data
}

func decodeRow[T any](row ports.Row) (T, error) {
	var v T
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return v, eris.Wrapf(err, "row %s cannot be decoded", row.Key)
	}
	return v, nil
}
