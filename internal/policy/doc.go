// Package policy is the configuration that all daemons share: customers,
// request classes, service tiers, service levels, upstreams and the rules that
// say which traffic may reach which upstreams.
//
// A configuration is TOML text in one or more files. Decode reads it strictly
// and collects every finding with its place, so that one run shows all mistakes;
// findings that would only be consequences of another one are left out. Compile
// turns a Document into an immutable Policy, which the request path reads
// through one atomic pointer.
//
// Rules select customers, classes and upstreams by their labels and by the
// implicit labels id, team (customers and classes), region, zone, kind and service
// (upstreams). Of the rules that match a customer and class, those with the
// highest precedence set the tier and the service level, and the upstreams that
// any of them selects may serve the traffic.
//
// Compile evaluates each selector once per set of items that no selector can
// tell apart, so its cost follows the number of distinct label sets. Rules that
// name customers one by one give up this saving. The package uses no signal
// besides the configuration: health and load of upstreams belong to routing.
package policy
