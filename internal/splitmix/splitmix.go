// Package splitmix mixes 64-bit values with the finalizer of SplitMix64. It
// derives ranks and seeds from combined hashes, where XOR alone would preserve
// their structure.
package splitmix

// Finalize returns a value in which each bit depends on all bits of x.
func Finalize(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
