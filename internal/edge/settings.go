package edge

import (
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
)

// Settings are the settings of one daemon.
type Settings struct {
	Daemon domain.DaemonID
	Zone   domain.AvailabilityZone
	Region domain.Region
	// Regions maps each zone to its region.
	Regions map[domain.AvailabilityZone]domain.Region
	// CallerAddress and ReadinessAddress are the addresses to listen on for callers
	// and for the load balancer's readiness probes.
	CallerAddress    string
	ReadinessAddress string
	// InternalAddress is the address for metrics and peers, by TCP and UDP. Empty
	// means that the daemon serves no metrics and has no peers.
	InternalAddress string
	// ControlAddress is a further address at which peers read table copies. It is
	// the one that Seeds of other daemons list. Empty means none.
	ControlAddress string
	// Seeds are the control addresses of some daemons, which may be outdated or
	// down.
	Seeds []string
	// FirstStart means that all daemons start together for the first time.
	FirstStart bool
	// PlatformAddress is the address of the platform's store.
	PlatformAddress string
	// PlatformReadRate is the number of reads a second that the store allows all
	// daemons together. Zero means unknown.
	PlatformReadRate float64
	// PlatformWriteRate is the same for writes.
	PlatformWriteRate float64
	// MemoryBytes and FileDescriptors are the limits of the process. Zero means
	// unknown.
	MemoryBytes     int64
	FileDescriptors int
	// LinkByteRate is the VM's bandwidth in bytes a second. Zero means unknown.
	LinkByteRate float64
	// ShutdownTimeout is the time between the signal to stop and the end of the
	// process.
	ShutdownTimeout time.Duration
	// RemovalTimeout is how long after an upstream has left the list it may still
	// get new requests. Zero means 2.5 s.
	RemovalTimeout time.Duration
	// ConfigTimeout is how long after a change of the configuration requests may be
	// handled as an earlier one says. Zero means 2.5 s.
	ConfigTimeout time.Duration
	// RetryRatio and RetrySlack bound the retries to a service within ten seconds,
	// for all daemons together: a share of the requests, plus a fixed number.
	RetryRatio float64
	RetrySlack float64
	// Duties are the calls to the platform's API that one daemon makes for all.
	Duties DutySettings
	// Findings are parts of the settings that can't be used. The daemon serves
	// without them.
	Findings []string
}

// DutySettings say which calls one daemon makes to the platform's API for the whole
// fleet. The zero value means none.
type DutySettings struct {
	// APIAddress is the IP:port of the platform's API.
	APIAddress string
	// Metering reports the usage of customers, and Ordering orders upstreams.
	Metering, Ordering bool
	// CallRate is the number of calls a second that the API accepts from all daemons
	// together. Zero means unknown.
	CallRate float64
	// LeaseTime is the time within which two daemons must not act by turns.
	LeaseTime time.Duration
	// UsageWindow is the length of one window of a usage report, which is due UsageDue
	// after its end.
	UsageWindow, UsageDue time.Duration
	// UsageTolerance is the relative error of a count that the platform tolerates.
	UsageTolerance float64
	// Fencing means that the API refuses calls with an outdated fencing token.
	Fencing bool
}

// Any reports whether the daemon may have to make such calls.
func (d DutySettings) Any() bool { return d.Metering || d.Ordering }
