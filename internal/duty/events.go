package duty

import (
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/lease"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

const (
	// lineInterval is the shortest time between two log lines of one kind about calls.
	lineInterval = 10 * time.Second
	// lateCall is how long a call may take before it counts as late. It must end within
	// the margin of the lease.
	lateCall = leaseMargin
)

// lineLimit bounds the rate of log lines.
type lineLimit struct {
	next  time.Time
	total int64
}

// allow counts an occurrence and reports whether it gets a line.
func (l *lineLimit) allow(now time.Time) bool {
	l.total++
	if now.Before(l.next) {
		return false
	}
	l.next = now.Add(lineInterval)
	return true
}

func (h *Holder) gauge() metrics.GaugeFloat64 { return h.cfg.Metrics.Gauge("auburndyke_duty_holder") }

func (h *Holder) acquired(token domain.FencingToken) {
	term := h.lease.Term()
	wait := time.Duration(0)
	if !term.TakenOverAt.IsZero() {
		wait = max(h.cfg.LeaseTime-h.clock().Sub(term.TakenOverAt), 0)
	}
	h.gauge().Update(1)
	h.cfg.Metrics.Counter("auburndyke_duty_holder_changes_total").Inc(1)
	h.cfg.Log.Event(telemetry.DutyHolderChanged).Str("holder", string(h.cfg.Daemon)).Bool("held", true).
		Uint64("token", uint64(token)).Time("since", time.Now()).Int64("acts_after_ms", wait.Milliseconds()).Send()
}

func (h *Holder) lost(token domain.FencingToken, reason string) {
	h.gauge().Update(0)
	h.cfg.Log.Event(telemetry.DutyHolderChanged).Str("holder", string(h.cfg.Daemon)).Bool("held", false).
		Uint64("token", uint64(token)).Str("reason", reason).Send()
}

// actRefused counts an act that was not started or not sent because the term had ended.
func (h *Holder) actRefused(token domain.FencingToken) {
	h.cfg.Metrics.Counter("auburndyke_duty_acts_refused_total").Inc(1)
	h.mu.Lock()
	logged, total := h.refused.allow(time.Now()), h.refused.total
	h.mu.Unlock()
	if logged {
		h.cfg.Log.Event(telemetry.DutyActRefused).Uint64("token", uint64(token)).Int64("total", total).Send()
	}
}

// actEnded counts an act that was late or whose call failed.
func (h *Holder) actEnded(token domain.FencingToken, took time.Duration, err error) {
	h.cfg.Metrics.Counter("auburndyke_duty_acts_total").Inc(1)
	if errors.Is(err, lease.ErrNotHeld) {
		h.actRefused(token)
		return
	}
	if err == nil && took < lateCall {
		return
	}
	h.cfg.Metrics.Counter("auburndyke_duty_calls_failed_total").Inc(1)
	h.mu.Lock()
	logged, total := h.late.allow(time.Now()), h.late.total
	h.mu.Unlock()
	if logged {
		h.cfg.Log.Event(telemetry.DutyCallFailed).Err(err).Uint64("token", uint64(token)).
			Int64("took_ms", took.Milliseconds()).Int64("total", total).Send()
	}
}
