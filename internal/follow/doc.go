// Package follow keeps a local copy of a table that others write. It reads the
// table once, then waits for changes, and reads again when the table's history
// no longer reaches back or a call fails in a way that leaves a gap.
//
// While the table can't be reached the copy stays as it is; its age tells how
// old it may be.
package follow
