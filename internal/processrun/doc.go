// Package processrun holds tests that run the built binary as separate
// processes on loopback: a stand-in platform, engines, services and daemons.
// During a load it kills, pauses and drains them and takes the platform down;
// afterwards it compares every answer with the expected text and checks the
// invariants that the upstreams' ledgers show.
//
// It finds what tests inside one process cannot: faults of start-up, signals,
// lost connections and settings. It is slow and needs some 30 processes, so it
// runs only with AUBURNDYKE_PROCESSES set: "smoke" for 2 daemons and 4
// upstreams during 10 s, "outage" for a platform that is down for longer than
// the daemons' leases, any other value for the long run.
package processrun
