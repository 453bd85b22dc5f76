package balancer

import "time"

const (
	// initialSpeed is the assumed prefill speed, in tokens per millisecond,
	// before the first observation.
	initialSpeed = 40.0
	// speedDecay lowers the learned speed with each observation, so that it
	// follows an engine that has become slower.
	speedDecay = 0.99
	// minObserved is the smallest number of read tokens whose duration says
	// something about the speed.
	minObserved = 1500
	// typicalWeight is the weight of one request in the mean reading size.
	typicalWeight = 0.05
	// initialTypical is the assumed reading size before the first request.
	initialTypical = 2000.0
)

// prefillSpeed learns how fast the engines of a service read prompts. Queueing
// only lengthens an observation, so the fastest recent one comes closest to
// the engine's speed.
type prefillSpeed struct {
	learned float64 // tokens per millisecond; zero means nothing learned
	mean    float64 // tokens that a request reads on average
}

func (s *prefillSpeed) tokensPerMS() float64 {
	if s.learned == 0 {
		return initialSpeed
	}
	return s.learned
}

func (s *prefillSpeed) duration(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.tokensPerMS() * float64(time.Millisecond))
}

// observe takes the time to the first event of a request that read tokens.
func (s *prefillSpeed) observe(tokens int, took time.Duration) {
	if tokens < minObserved || took <= 0 {
		return
	}
	speed := float64(tokens) / (float64(took) / float64(time.Millisecond))
	s.learned = max(speed, s.learned*speedDecay)
}

func (s *prefillSpeed) sent(tokens int) {
	if s.mean == 0 {
		s.mean = initialTypical
	}
	s.mean += (float64(tokens) - s.mean) * typicalWeight
}

// typical is the number of tokens that a request reads on average.
func (s *prefillSpeed) typical() int {
	if s.mean == 0 {
		return initialTypical
	}
	return int(s.mean)
}
