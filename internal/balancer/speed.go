package balancer

import "time"

const (
	// initialSpeed is the assumed prefill speed, in tokens per millisecond,
	// before the first observation.
	initialSpeed = 40.0
	// speedDecay lowers the estimated speed with each observation, so that it
	// follows an engine that has become slower.
	speedDecay = 0.99
	// minObservedTokens is the smallest prefill whose duration says something about
	// the speed.
	minObservedTokens = 1500
	// prefillSizeWeight is the weight of one request in the mean prefill size.
	prefillSizeWeight = 0.05
	// initialPrefillSize is the assumed prefill size before the first request, in
	// tokens.
	initialPrefillSize = 2000.0
)

// prefillSpeed estimates the prefill speed of a service's engines. Queueing only
// lengthens an observed time, so the fastest recent observation is closest to the
// engine's speed.
type prefillSpeed struct {
	estimate float64 // tokens per millisecond; zero before the first observation
	meanSize float64 // mean uncached tokens of a request; zero before the first one
}

func (s *prefillSpeed) tokensPerMS() float64 {
	if s.estimate == 0 {
		return initialSpeed
	}
	return s.estimate
}

func (s *prefillSpeed) duration(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.tokensPerMS() * float64(time.Millisecond))
}

// observe records the time to the first event of a request that prefilled tokens.
func (s *prefillSpeed) observe(tokens int, took time.Duration) {
	if tokens < minObservedTokens || took <= 0 {
		return
	}
	speed := float64(tokens) / (float64(took) / float64(time.Millisecond))
	s.estimate = max(speed, s.estimate*speedDecay)
}

func (s *prefillSpeed) observeSize(tokens int) {
	if s.meanSize == 0 {
		s.meanSize = initialPrefillSize
	}
	s.meanSize += (float64(tokens) - s.meanSize) * prefillSizeWeight
}

// typicalSize returns the mean number of tokens that a request prefills.
func (s *prefillSpeed) typicalSize() int {
	if s.meanSize == 0 {
		return initialPrefillSize
	}
	return int(s.meanSize)
}
