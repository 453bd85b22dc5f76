// Package hostile contains tests that run the daemon as a process of its own and
// attack it with callers that exhaust memory, descriptors or connections. They run
// only if AUBURNDYKE_HOSTILE is set, one at a time and apart from other load.
package hostile
