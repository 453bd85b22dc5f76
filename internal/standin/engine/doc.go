// Package engine is a stand-in for a model engine, for tests and trials. It
// speaks the upstream protocol of docs/design.md over HTTP with a simulated
// continuous batch, prefix cache, queue and clock, and it has a switch for
// each fault that the router must survive.
//
// The answer to a prompt is a function of the prompt and the seed alone, so a
// continuation on another engine joins seamlessly and a checker can recompute
// each answer byte for byte (see Expected). A ledger records each attempt and
// each computed token.
//
// Besides the upstream protocol it serves GET /ledger, GET /faults and
// POST /faults. The body of POST /faults has the fields of Faults, which keep
// their value when absent, and "crash" and "silence", which act once.
//
// All timing goes through the time package, so an Engine behind in-memory
// connections works under testing/synctest.
package engine
