// Package tomlstrict reads TOML into structs and reports every problem of a
// file with its line and column in one run: syntax errors, unknown and
// duplicate keys, wrong types and wrong units.
//
// The decoder of go-toml stops at the first wrong value, so an operator would
// need one run for each mistake. This package reads the positions from
// go-toml's parser and fills the structs itself. It is meant for configuration
// that people write; for bulk data the cost of the positions is a waste.
//
// Fields are named by the tag toml:"name,option...". Options:
//
//	required  the key must be present
//	share     float64 written as a percentage: "5%"
//	size      int64 written with a unit: "14GiB"
//	signed    the number may be negative
//
// A time.Duration is written as a string such as "770ms". A type that
// implements encoding.TextUnmarshaler is written as a string.
package tomlstrict
