// Package cli holds the commands that work on configuration files without a
// running daemon: config check, config diff and explain.
//
// Commands return an *ExitError with the process's exit code. Output goes to
// the command's standard output; errors that are not findings are left to the
// caller to print.
package cli
