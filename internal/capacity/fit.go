package capacity

import "math"

// Point is one measurement.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Fit is the least-squares line through the points of a slope.
type Fit struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// R2 is the share of the variance that the line explains. It is 1 when
	// all points have the same Y.
	R2 float64 `json:"r2"`
}

// At returns the value of the line.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// LeastSquares fits a line. Fewer than two different X give a horizontal line
// through the mean.
func LeastSquares(points []Point) Fit {
	n := float64(len(points))
	if n == 0 {
		return Fit{R2: 1}
	}
	var mx, my float64
	for _, p := range points {
		mx += p.X / n
		my += p.Y / n
	}
	var sxx, sxy, syy float64
	for _, p := range points {
		sxx += (p.X - mx) * (p.X - mx)
		sxy += (p.X - mx) * (p.Y - my)
		syy += (p.Y - my) * (p.Y - my)
	}
	if sxx == 0 {
		return Fit{Intercept: my, R2: 1}
	}
	f := Fit{Slope: sxy / sxx, R2: 1}
	f.Intercept = my - f.Slope*mx
	if syy > 0 {
		f.R2 = sxy * sxy / (sxx * syy)
	}
	return f
}

// Slope is one measured relation.
type Slope struct {
	// Name identifies the slope in figures, for example "relay/events".
	Name string `json:"name"`
	// What says what X and Y are.
	X    string `json:"x"`
	Y    string `json:"y"`
	Unit string `json:"unit"`
	// Mechanism is the package that carries the cost.
	Mechanism string  `json:"mechanism"`
	Points    []Point `json:"points"`
	Fit       Fit     `json:"fit"`
	// Note qualifies the measurement.
	Note string `json:"note,omitempty"`
}

// Range returns the smallest and the largest X measured.
func (s *Slope) Range() (low, high float64) {
	low, high = math.Inf(1), math.Inf(-1)
	for _, p := range s.Points {
		low, high = min(low, p.X), max(high, p.X)
	}
	return low, high
}

// Last returns the value measured at the largest X.
func (s *Slope) Last() float64 {
	_, high := s.Range()
	for _, p := range s.Points {
		if p.X == high {
			return p.Y
		}
	}
	return 0
}
