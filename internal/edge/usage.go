package edge

import (
	"time"

	"github.com/auburndyke/auburndyke/internal/bootclock"
	"github.com/auburndyke/auburndyke/internal/duty"
	"github.com/auburndyke/auburndyke/internal/peers"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/usage"
)

// Defaults of DutySettings that are zero.
const (
	defaultUsageWindow = 5 * time.Second
	defaultUsageDue    = 10 * time.Second
)

// UsageDeps are what a daemon needs to report usage.
type UsageDeps struct {
	// Duty lets the holder of the duties make calls.
	Duty usage.Duty
	// Table holds the reports.
	Table ports.Table
	API   ports.Duties
}

// meterUsage makes the daemon count the requests of customers, if its settings say so.
func (e *Edge) meterUsage(s *Settings) {
	if !s.Duties.Metering {
		return
	}
	o := usage.Options{
		Daemon: string(s.Daemon), Address: s.InternalAddress, Window: s.Duties.UsageWindow, Due: s.Duties.UsageDue,
		Wall: time.Now, Boot: bootclock.Now, Log: e.deps.Log, Metrics: e.deps.Metrics,
	}
	if o.Window <= 0 {
		o.Window = defaultUsageWindow
	}
	if o.Due <= 0 {
		o.Due = defaultUsageDue
	}
	switch d := e.deps.Usage; {
	case d != nil:
		table := duty.NewRestorationTable(d.Table, bootclock.Now)
		o.Duty, o.Table, o.Restored, o.API = d.Duty, table, table.Restored, d.API
	case e.duties.holder != nil:
		o.Duty, o.Table, o.Restored, o.API = dutyCalls{e.duties.holder}, e.duties.table, e.duties.table.Restored, e.deps.Duties.API
	}
	e.usage = usage.New(o)
	e.handler.CountUsage = e.usage.Count
}

// peerUsage returns what is exchanged with peers, or nil.
func (e *Edge) peerUsage() peers.Usage {
	if e.usage == nil {
		return nil
	}
	return e.usage
}
