// Package certs builds TLS configurations from the files that the settings
// name and reads the files again when they change.
//
// Certificates of small VMs are short-lived, so a daemon takes replaced files
// without a restart. A certificate and its key cannot be replaced in one step;
// files that do not fit together leave the last good ones in use. Files are
// looked at during handshakes, at most once in each check interval, so an idle
// daemon reads nothing.
//
// Signals: the events certificates_loaded and certificates_rejected.
package certs
