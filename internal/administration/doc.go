// Package administration decides about changes that operators make: who may
// change what, what a change does to traffic, which changes need to be forced,
// and how two concurrent changes merge. It holds the messages of the
// administration API, so that server and command line share them.
//
// Scope is decided by the difference between two documents instead of by the
// call that was made, so that no call can change more than its token allows.
// The package uses the configuration only. It has no clock, socket or store.
package administration
