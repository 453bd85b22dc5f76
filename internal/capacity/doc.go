// Package capacity measures on one machine what the parts of the system cost
// per unit of load or size, and extrapolates these slopes to a planned fleet.
//
// It exists because the planned size cannot be run on one machine, while the
// limits on control traffic, processor time and platform calls hold at that
// size. The measured parts call the code that the daemon runs; the
// extrapolation is plain arithmetic over fitted lines, so that each figure can
// be traced to a slope, its range and its fit. It misleads where a cost is not
// linear beyond the measured range; R² and the range are reported for that
// reason.
//
// Processor time is that of the process (getrusage), because wall time on a
// shared machine measures its other users. Stand-ins and load generators run
// in the same process; their cost is measured by a run without the daemon and
// subtracted.
package capacity
