package edge

import (
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
)

// Settings of one daemon.
type Settings struct {
	Daemon domain.DaemonID
	Zone   domain.AvailabilityZone
	Region domain.Region
	// Regions maps each zone to its region.
	Regions map[domain.AvailabilityZone]domain.Region
	// CallerAddress and Readiness are the addresses to listen on for callers and for
	// the balancer's probes.
	CallerAddress    string
	ReadinessAddress string
	// InternalAddress is the address for metrics and peers, by TCP and UDP. Empty
	// means that the daemon serves no metrics and works alone.
	InternalAddress string
	// ControlAddress is a further address at which peers read copies, the one that
	// Seeds of other daemons name. Empty means none.
	ControlAddress string
	// Seeds are Control addresses of some daemons. They may be old or down.
	Seeds []string
	// PlatformAddress is the address of the platform's store.
	PlatformAddress string
	// MemoryBytes and Descriptors are the limits of the process. Zero means
	// that none is known.
	MemoryBytes     int64
	FileDescriptors int
	// ShutdownTimeout is the time between the signal to stop and the end.
	ShutdownTimeout time.Duration
	// RemovalTimeout is how long after an upstream has left the list it may still
	// get new work.
	RemovalTimeout time.Duration
	// RetryRatio and RetrySlack bound the repeats to a service within ten
	// seconds, for all daemons together: a share of the requests and a number.
	RetryRatio float64
	RetrySlack float64
}
