// Package service is a stand-in for a plain service beside the engines, for
// tests and trials. It keeps a ledger of executions by idempotency key, so
// that a test can prove that a call ran at most once. It does not deduplicate
// by itself unless a switch says so.
package service
