// Package replay runs the decision code (admission, estimate, routing and
// exchange) over recorded traces in virtual time and compares policies side by
// side.
//
// It exists so that a change of the decision code is judged by its effect on
// attainment, goodput and waste before it meets traffic. It does harm when its
// small engines are taken for real ones: absolute times mean nothing, only the
// ratios between policies of one run do. Its signals are the requests of a
// trace and the faults of a fault file.
//
// Events run from one heap in the order of their time and creation, and every
// random source is seeded, so the same trace, faults and seed give the same
// report byte for byte. docs/trace-format.md describes the files.
package replay
