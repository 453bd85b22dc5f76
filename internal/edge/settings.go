package edge

import (
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
)

// Settings of one daemon.
type Settings struct {
	Daemon  domain.DaemonID
	Zone    domain.AvailabilityZone
	Region  domain.Region
	Address string // IP of the VM
	// Callers, Readiness and Metrics are the addresses to listen on. An empty
	// Metrics serves none.
	Callers   string
	Readiness string
	Metrics   string
	// Platform is the address of the platform's store.
	Platform string
	// InternalPorts is the first and last port for traffic between daemons.
	InternalPorts []int
	// MemoryBytes and Descriptors are the limits of the process. Zero means
	// that none is known.
	MemoryBytes int64
	Descriptors int
	// StopBound is the time between the signal to stop and the end.
	StopBound time.Duration
	// LeaveBound is how long after an upstream has left the list it may still
	// get new work.
	LeaveBound time.Duration
	// RetryRatio and RetrySlack bound the repeats to a service, for all daemons
	// together within RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
}
