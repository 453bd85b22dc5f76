// Package policy is the configuration that all daemons share: customers,
// request classes, service tiers, service levels, upstreams and the rules that
// say which traffic may reach which upstreams.
//
// A configuration is TOML text. Decode reads it strictly and collects every
// finding with its place; Compile turns a valid Document into an immutable
// Policy that a request's path reads through one atomic pointer.
package policy
