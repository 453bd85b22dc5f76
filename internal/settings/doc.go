// Package settings holds what one daemon process needs to know before it can
// fetch the shared configuration: its name and place, its addresses, the
// platform and its limits.
//
// Settings are TOML. They may be split over several files, for example one
// file that all daemons share and one with the values of each daemon; every
// key is set in one file only, so that no file silently overrides another.
// The defaults suit a small entry VM; a bound that is too low for the traffic
// refuses callers, so the limits of connections and bodies are settings. The
// package looks at the text only: it opens no file and no address.
//
// Settings take effect at the start of the process. What must change while
// daemons run belongs to the shared configuration instead.
package settings
