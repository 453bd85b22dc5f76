// Package configlog is the log of accepted configurations. Each accepted
// change is one revision; revisions are numbered without gaps and written by
// conditional transactions of the platform's table service, so that at most
// one change becomes revision N+1.
//
// It exists because operators change the configuration concurrently, answers
// of the store get lost, and every daemon must reach the same configuration
// and never go back. The signals are the row config/head, the rows
// config/rev/N and revisions offered by other daemons. It does harm where a
// value changes more often than people change their minds: each revision is
// a transaction on one hot row.
//
// Proposal and Follower are pure state machines. Proposer and Watcher run
// them against the platform.
package configlog
