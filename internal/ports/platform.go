// Package ports names what the system needs from outside: the platform's
// table service, object store, weight store and VM list, the upstreams, and
// the other daemons. Decision packages depend on these interfaces only;
// adapters and stand-ins implement them.
package ports

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/auburndyke/auburndyke/internal/domain"
)

var (
	// ErrUnavailable means that the call had no effect: it was refused or
	// never sent.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrUnknownOutcome means that a write may or may not have taken effect.
	// The caller reads again to find out.
	ErrUnknownOutcome = errors.New("outcome of platform call unknown")
	// ErrNotFound means that the named object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrThrottled means that a rate limit refused the call.
	ErrThrottled = errors.New("rate limit exceeded")
)

// ConflictError reports the keys whose precondition failed. Nothing of the
// transaction took effect.
type ConflictError struct {
	Keys []string
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("precondition failed for %s", strings.Join(e.Keys, ", "))
}

// Version is the table service's version of a row. It grows with each write
// to any row. Zero means that the row does not exist.
//
// A service that is restored from an older copy of its data gives the numbers of the
// lost writes out again. Its era counts the restorations and makes up the upper bits of
// a Version, so that versions of a later era are the greater ones.
type Version uint64

const (
	// numberBits is the number of bits of a Version's number.
	numberBits = 44
	maxNumber  = 1<<numberBits - 1
	maxEra     = 1<<(64-numberBits) - 1
)

// NewVersion returns the version with a number of an era. It returns an error if either
// is out of range.
func NewVersion(era, number uint64) (Version, error) {
	if era > maxEra || number > maxNumber {
		return 0, fmt.Errorf("version %d of era %d is out of range", number, era)
	}
	return Version(era<<numberBits | number), nil
}

// Era returns the era to which the version belongs.
func (v Version) Era() uint64 { return uint64(v) >> numberBits }

// Number returns the version's number within its era.
func (v Version) Number() uint64 { return uint64(v) & maxNumber }

// Row is one row of the table service.
type Row struct {
	Key     string  `json:"key"`
	Value   []byte  `json:"value"`
	Version Version `json:"version"`
	// Deleted marks a row that was deleted at Version. Only a Scan with a
	// since version returns such rows, so that a follower learns of deletions.
	Deleted bool `json:"deleted,omitempty"`
}

// Write is one conditional write of a transaction.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
	// Expect is the version that the row must have. The number zero, of any era,
	// means that the row must not exist. A service compares numbers alone: a write
	// whose version is of a later era than Expect may have replaced another row
	// than the expected one.
	Expect Version `json:"expect"`
	// Unconditional skips the check of Expect.
	Unconditional bool `json:"unconditional,omitempty"`
}

// Table is the platform's transactional table service.
type Table interface {
	// Get returns the rows that exist among keys, in the order of keys, as they
	// were at one moment. A table that has been restored also returns the keys
	// without a row: with Deleted set, and the number 0 of its era.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows whose key starts with prefix and comes
	// after the key after, in key order. Rows with a version of since or
	// lower are left out, and rows deleted behind since are returned with
	// Deleted set. With since zero, deleted rows are left out. Pages are read
	// one after another, so a follower takes the highest version of its first
	// page as the next since; a later page may show writes that are newer than
	// a change to a row of an earlier page.
	Scan(ctx context.Context, prefix, after string, limit int, since Version) ([]Row, error)
	// Commit applies all writes or none and returns the new version, which
	// all written rows share. It fails with *ConflictError, ErrUnavailable,
	// ErrThrottled or ErrUnknownOutcome.
	Commit(ctx context.Context, writes ...Write) (Version, error)
}

// Objects is the platform's object store.
type Objects interface {
	// Put stores an object under a name that is never reused for other content.
	Put(ctx context.Context, name string, data []byte) error
	// Read returns an object or ErrNotFound.
	Read(ctx context.Context, name string) ([]byte, error)
}

// VMList is the platform's list of live and leaving VMs. It lags.
type VMList interface {
	VMs(ctx context.Context) ([]domain.VM, error)
}

// WeightStore is the rate-limited store of model weights. Engines load from
// it; the system only asks what exists and how large it is.
type WeightStore interface {
	// Size returns the size of an artefact in bytes.
	Size(ctx context.Context, artefact string) (int64, error)
}

// Platform groups the platform's services.
type Platform interface {
	Table
	Objects
	VMList
	WeightStore
}
