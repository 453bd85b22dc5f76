package duty

import "time"

const (
	// callRateShare is the share of the platform's rate of calls that the holder uses.
	// The rest covers calls that the network delays and delivers close together.
	callRateShare = 0.8
	// defaultCallRate is the rate of calls a second if the platform names none.
	defaultCallRate = 5
)

// Pace spaces the calls of one daemon evenly. Not safe for concurrent use.
type Pace struct {
	interval time.Duration
	next     time.Time
}

// NewPace returns a Pace for a rate of calls a second that the platform accepts. Zero
// means unknown.
func NewPace(rate float64) *Pace {
	if rate <= 0 {
		rate = defaultCallRate
	}
	return &Pace{interval: time.Duration(float64(time.Second) / (callRateShare * rate))}
}

// Reserve returns how long the next call has to wait, and takes its place.
func (p *Pace) Reserve(now time.Time) time.Duration {
	at := now
	if p.next.After(at) {
		at = p.next
	}
	p.next = at.Add(p.interval)
	return at.Sub(now)
}
