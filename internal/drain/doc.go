// Package drain takes upstreams out of service without breaking their work:
// serving, draining (no new work), quiet (every daemon has stopped), releasable
// (no request in progress).
//
// It exists because an upstream is rented and returned while hundreds of
// daemons send it work, some of which may be cut off when the leave is
// accepted. The one place that all new work passes is the upstream itself, so
// the order to refuse new work goes there, and a leave counts as accepted when
// the upstream has confirmed it or every daemon has acknowledged it. Facts
// spread the leave to daemons, which then do not try. It does harm if an
// upstream is drained that is the last one of a class; that needs force.
//
// Signals: operators' requests, the VM list, facts with acknowledgements and
// counts of requests in progress, the upstream's confirmation and load report.
//
// The package is pure: Controller and Holder take an event and the time and
// return actions; Gate is a function.
package drain
