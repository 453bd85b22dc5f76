// Package claims runs calls that must not be repeated at most once across all
// daemons. Before such a call is dispatched, its daemon creates the row
// claim/<customer>/<key> by a conditional write; whoever finds the row does
// not dispatch. When the call has ended, the row records the outcome and a
// bounded copy of the answer, and repeated calls are answered from it.
//
// It exists because callers retry through other daemons, daemons die between
// dispatch and answer, and answers of the table are lost. The signals are the
// answers of the table and the roster's word that a daemon incarnation is
// gone. It does harm where calls are repeatable: each claimed call costs two
// writes and its caller waits for the first.
//
// Claim and Settlement are pure state machines; Claims runs them. Batcher
// groups the writes of many calls into few transactions. Correctness rests on
// the conditional writes alone, whoever sends them.
package claims
