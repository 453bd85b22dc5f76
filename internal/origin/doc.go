// Package origin records at which software version of its upstream each resumable stream
// began. Upstreams of several versions may serve side by side, and what they write does
// not fit together, so that a caller who takes a stream up again must reach the version
// that began it, whichever daemon it asks.
//
// A Book holds what one daemon knows. While a service has more than one version, a
// Keeper writes the daemon's streams to a table of the platform, a row a daemon, and
// reads those of the others when a stream is taken up that the daemon does not know.
// Streams thus outlive their daemons, also if all of them end at once. With one version
// nothing is written.
//
// If the rows can't be read, or may be incomplete, the daemon asks peers, whose Books know
// the streams that they have begun.
//
// That a daemon has heard of no other version proves nothing by itself. It counts only
// if the daemon has heard of all versions without a gap for as long as callers take streams
// up, and until the caller asked: from its start on, or from before it if the rows of others
// tell of that time, to a call to the platform that began after the caller came. While the
// platform is away, most of the fleet must agree instead.
//
// A stream whose version is not known goes on nowhere: the caller is told that its
// attempt has not run.
package origin
