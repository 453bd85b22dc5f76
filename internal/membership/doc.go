// Package membership keeps the roster of daemons: which incarnations are live,
// which are suspected and which are gone.
//
// It exists because a daemon may crash, be paused or be cut off, and other
// daemons must neither wait for it for ever nor take over while it still acts.
// Only the table service ends an incarnation: an observer sees a roster row
// unchanged for a whole lease and then marks it gone by a conditional write,
// which makes the next renewal of the paused daemon fail. No clocks are
// compared between VMs; each observer measures with its own. It does harm if a
// suspicion is taken for an end: suspects only receive no new shared work.
//
// Signals: roster rows and their versions, silence of graph neighbours, facts,
// and the VM list as a hint to look earlier.
//
// The package is pure: Core takes an event and the time and returns actions.
package membership
