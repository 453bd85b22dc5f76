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
	// get new requests.
	RemovalTimeout time.Duration
	// RetryRatio and RetrySlack bound the retries to a service within ten seconds,
	// for all daemons together: a share of the requests, plus a fixed number.
	RetryRatio float64
	RetrySlack float64
}
