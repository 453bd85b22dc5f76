// Package follow keeps a local copy of a table that others write. It reads the
// whole table once and then polls for changes. It reads the whole table again
// when the table's history no longer reaches back to the copy's version.
//
// Calls that were open while the platform was away may never get a response. The
// first response to any call of the daemon, or a peer's report of one, ends them
// so that they are repeated (Contact).
//
// The copy stays unchanged while the table can't be reached; its age bounds how
// far it may be out of date. A copy may also be updated from a peer's.
package follow
