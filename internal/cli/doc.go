// Package cli holds the commands of the auburndyke binary: those that work on
// configuration files without a running daemon, those that call a daemon's
// administration API, and those that run daemons.
//
// Commands return an *ExitError with the process's exit code. Output goes to
// the command's standard output; errors that are not findings are left to the
// caller to print.
package cli
