// Package splitmix spreads 64-bit values with the finalizer of SplitMix64. It
// makes a rank or a seed out of combined hashes, where an exclusive or alone
// would keep their structure.
package splitmix

// Finalize returns a value each bit of which depends on all bits of x.
func Finalize(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
