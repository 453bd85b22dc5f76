package faultmatrix

import "math/rand/v2"

// pairs returns n cells with two faults each, chosen from the table by seed.
// The same fault may come twice.
func pairs(seed uint64, n int) []cell {
	rng := rand.New(rand.NewPCG(seed, 0))
	all, columns := steps(), faults()
	var out []cell
	for len(out) < n {
		st := all[rng.IntN(len(all))]
		first, second := columns[rng.IntN(len(columns))], columns[rng.IntN(len(columns))]
		if first.unfit(&st) != "" || second.unfit(&st) != "" {
			continue
		}
		out = append(out, cell{step: st, faults: []fault{first, second}, seed: rng.Uint64()})
	}
	return out
}
