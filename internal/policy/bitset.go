package policy

import "math/bits"

const wordBits = 64

// bitset is a fixed-size set of small integers.
type bitset []uint64

func newBitset(n int) bitset { return make(bitset, (n+wordBits-1)/wordBits) }

// newBitsets returns count sets for members below n.
func newBitsets(count, n int) []bitset {
	sets := make([]bitset, count)
	for i := range sets {
		sets[i] = newBitset(n)
	}
	return sets
}

func (b bitset) set(i int) { b[i/wordBits] |= 1 << (i % wordBits) }

func (b bitset) has(i int) bool { return b[i/wordBits]&(1<<(i%wordBits)) != 0 }

// next returns the smallest member that is i or more, or -1.
func (b bitset) next(i int) int {
	for w := i / wordBits; w < len(b); w++ {
		word := b[w]
		if w == i/wordBits {
			word &= ^uint64(0) << (i % wordBits)
		}
		if word != 0 {
			return w*wordBits + bits.TrailingZeros64(word)
		}
	}
	return -1
}

// and sets b to the intersection of x and y.
func (b bitset) and(x, y bitset) {
	for i := range b {
		b[i] = x[i] & y[i]
	}
}

// or adds the members of x.
func (b bitset) or(x bitset) {
	for i := range b {
		b[i] |= x[i]
	}
}

func (b bitset) empty() bool {
	for _, word := range b {
		if word != 0 {
			return false
		}
	}
	return true
}

func union(sets []bitset, n int) bitset {
	all := newBitset(n)
	for _, s := range sets {
		all.or(s)
	}
	return all
}
