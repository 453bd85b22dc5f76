// Package faultmatrix injects every fault at every step of the system's work
// and checks the invariants. It runs the daemons' own code in virtual time
// over in-memory connections. What it checks comes from the ledgers of the
// stand-ins and from what callers received; the daemons' own statements are
// never taken as proof.
//
// A cell of the matrix is one step and one fault. Each cell starts a small
// deployment, drives the step, injects the fault at the moment of the step,
// heals it, and then asks for a configuration change, a drain and a planned
// stop, all under traffic.
//
// A paused daemon is modelled by holding back all its traffic for longer than
// its lease; its code goes on meanwhile, which is the harder case, because its
// timers fire and its state is stale when the traffic flows again.
package faultmatrix
