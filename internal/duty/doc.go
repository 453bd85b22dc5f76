// Package duty decides which daemon makes the calls to the platform's API that one
// daemon makes for the whole fleet, and when it may make them.
//
// One lease covers all duties (internal/lease). Candidates decides whether a daemon
// competes for it, Pace when the next call is due; both are pure. Holder runs them.
// docs/design/0002-duty-holder.md describes the rules and what was measured.
package duty
