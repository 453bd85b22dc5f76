// Package gateway is the path of a request through one daemon: it finds the
// route, admits the request, picks an upstream, runs the exchange and reports
// what happened.
//
// Every request reads the policy and the routing table through atomic
// pointers. A request that has to wait takes the lock of its model's queue;
// requests of different models share no lock. The gateway adds goroutines and
// clocks around the decisions of admission, routing, exchange and claims; it
// decides nothing of its own.
package gateway
