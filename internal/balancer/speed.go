package balancer

import "time"

const (
	// initialSpeed is the assumed prefill speed, in tokens per millisecond,
	// before the first observation.
	initialSpeed = 40.0
	// speedDecay lowers the learned speed with each observation, so that it
	// follows an engine that has become slower.
	speedDecay = 0.99
	// minObservedTokens is the smallest number of read tokens whose duration says
	// something about the speed.
	minObservedTokens = 1500
	// prefillSizeWeight is the weight of one request in the mean reading size.
	prefillSizeWeight = 0.05
	// initialPrefillSize is the assumed reading size before the first request.
	initialPrefillSize = 2000.0
)

// prefillSpeed learns how fast the engines of a service read prompts. Queueing
// only lengthens an observation, so the fastest recent one comes closest to
// the engine's speed.
type prefillSpeed struct {
	estimate float64 // tokens per millisecond; zero means nothing learned
	meanSize float64 // tokens that a request reads on average
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

// observe takes the time to the first event of a request that read tokens.
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

// typicalSize is the number of tokens that a request reads on average.
func (s *prefillSpeed) typicalSize() int {
	if s.meanSize == 0 {
		return initialPrefillSize
	}
	return int(s.meanSize)
}
