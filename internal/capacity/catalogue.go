package capacity

// definition describes a slope; see Slope.
type definition struct{ name, x, y, unit, mechanism, note string }

var definitions = []definition{
	{"relay/requests", "requests of one token", "processor time", "ms", "internal/gateway", "direct run subtracted"},
	{"relay/request-allocations", "requests of one token", "allocations", "", "internal/gateway", "direct run subtracted"},
	{"relay/request-ratio", "", "processor time, relayed to direct", "x", "internal/gateway", "both runs include the stand-in and the load generator"},
	{"relay/events", "token events/s", "processor time", "% of a core", "internal/exchange", "direct run subtracted"},
	{"relay/event-allocations", "token events/s", "allocations/s", "1/s", "internal/exchange", "direct run subtracted"},
	{"relay/event-ratio", "", "processor time, relayed to direct", "x", "internal/exchange", "mean over the points of relay/events"},
	{"relay/added-p50", "token events/s", "added latency of an event, p50", "ms", "internal/exchange", "relayed minus direct streams at the same time; wall time"},
	{"relay/added-p99", "token events/s", "added latency of an event, p99", "ms", "internal/exchange", "p99 relayed minus p99 direct of streams that run at the same time, median of five runs; wall time"},
	{"relay/added-p99-least", "token events/s", "the same, least of five runs", "ms", "internal/exchange", "wall time"},
	{"relay/direct-p99", "token events/s", "latency of an event without a daemon, p99", "ms", "stand-in", "noise floor of relay/added-p99"},
	{"relay/memory", "streams in progress", "memory held", "B", "internal/gateway", "heap and stacks, direct run subtracted"},
	{"routing/all", "candidates", "processor time of a decision", "µs", "internal/routing", ""},
	{"routing/all-allocations", "candidates", "allocations of a decision", "", "internal/routing", ""},
	{"routing/subset", "upstreams in the route", "processor time of a decision, subset of 72, six models", "µs", "internal/routing", ""},
	{"routing/group", "upstreams in the route", "processor time of a group hash", "µs", "internal/gateway", "routing.Request.Group; the gateway computes a like hash per request"},
	{"log/routing", "candidates", "processor time of a routing line", "µs", "internal/telemetry", "logged minus silent; written to a discarding writer"},
	{"log/subset", "upstreams in the route", "processor time of a routing line, subset of 72", "µs", "internal/telemetry", ""},
	{"log/subset-bytes", "upstreams in the route", "bytes of a routing line, subset of 72", "B", "internal/telemetry", ""},
	{"admission/queue", "waiting requests", "processor time of offer, next and finish", "µs", "internal/admission", ""},
	{"admission/limiter", "customers", "processor time of admit and release", "µs", "internal/admission", ""},
	{"policy/lookup", "customers", "processor time of key and route lookup", "µs", "internal/policy", ""},
	{"configuration/decode", "upstreams (customers 0.8 x)", "processor time", "ms", "internal/policy", ""},
	{"configuration/compile", "upstreams (customers 0.8 x)", "processor time", "ms", "internal/policy", ""},
	{"configuration/table", "upstreams (customers 0.8 x)", "processor time, subset of 72", "ms", "internal/routing", ""},
	{"configuration/limiter", "upstreams (customers 0.8 x)", "processor time", "ms", "internal/admission", ""},
	{"configuration/memory", "upstreams (customers 0.8 x)", "text, document and policy", "B", "internal/policy", ""},
	{"mesh/memory", "daemons", "memory of a node", "B", "internal/mesh", "without connections"},
	{"mesh/idle-messages", "daemons", "frames sent by a daemon", "1/s", "internal/mesh", ""},
	{"mesh/idle-bytes", "daemons", "bytes sent and received by a daemon", "B/s", "internal/mesh", "CBOR, WebSocket and TCP/IP headers, without acknowledgements"},
	{"mesh/idle-bytes-max", "daemons", "the same, busiest daemon", "B/s", "internal/mesh", "twice its sent bytes"},
	{"mesh/idle-cpu", "daemons", "processor time of a daemon", "% of a core", "internal/mesh", "logic and codec, without sockets"},
	{"mesh/change-bytes", "daemons", "bytes of a 1 KiB change at a daemon", "B", "internal/mesh", "sent and received"},
	{"mesh/fact-bytes", "daemons", "bytes of a fact at a daemon", "B", "internal/mesh", "sent and received"},
	{"mesh/change-time", "daemons", "time until the last daemon has a change", "ms", "internal/mesh", "links of 1 ms inside a region, 40 ms between regions"},
	{"mesh/hops", "daemons", "links on the longest shortest path", "", "internal/mesh", ""},
	{"platform/reads", "daemons", "reads of the fleet", "1/s", "internal/membership, internal/configlog, internal/lease", "roster, leases of drains and placement, drain records, config/head"},
	{"platform/writes", "daemons", "writes of the fleet", "1/s", "internal/membership, internal/lease", ""},
	{"platform/core-cpu", "daemons", "processor time of a daemon", "% of a core", "internal/membership, internal/configlog, internal/lease", "includes the stand-in's table, without sockets"},
	{"platform/recovery-reads", "daemons", "reads in the busiest second after an outage of 2 min", "1/s", "internal/backoff, internal/membership", ""},
	{"platform/recovery-writes", "daemons", "writes in the busiest second after an outage of 2 min", "1/s", "internal/backoff, internal/membership", ""},
	{"platform/restart-reads", "daemons that start at once", "added reads in the busiest second", "1/s", "internal/membership, internal/configlog", ""},
	{"platform/restart-writes", "daemons that start at once", "added writes in the busiest second", "1/s", "internal/membership", ""},
	{"platform/change-reads", "", "reads of one accepted change", "", "internal/configlog", "table and objects; by the proposer"},
	{"platform/change-writes", "", "writes of one accepted change", "", "internal/configlog", "table and objects"},
	{"claims/writes", "claimed calls/s", "writes", "1/s", "internal/claims", "platform calls of 5 ms"},
	{"claims/batched-writes", "claimed calls/s", "writes with three batchers", "1/s", "internal/claims", "platform calls of 5 ms"},
	{"subset/daemons-per-upstream", "daemons x upstreams", "most daemons on an upstream", "", "internal/routing", ""},
	{"subset/imbalance", "daemons x upstreams", "most daemons on an upstream to the mean", "x", "internal/routing", ""},
	{"subset/moved", "daemons x upstreams", "share of pairs that move when a daemon leaves", "", "internal/routing", ""},
	{"subset/cpu", "daemons x upstreams", "processor time of a subset", "ms", "internal/routing", ""},
	{"subset/site", "upstreams", "processor time of all subsets of a daemon's site", "ms", "internal/daemon", "three regions and six models, as internal/daemon computes them; 330 daemons to 2,500 upstreams"},
	{"mesh/frame-cpu", "frames", "processor time of a frame, sent and received", "ms", "internal/adapters/peerws", "heartbeats over loopback"},
	{"mesh/connection-memory", "connections", "memory of both ends", "B", "internal/adapters/peerws", ""},
	{"polling/report-bytes", "", "bytes of a load report", "B", "internal/daemon", "both directions, HTTP and TCP/IP headers"},
	{"polling/report-cpu", "", "processor time of the same", "µs", "internal/daemon", "includes the stand-in"},
	{"polling/cache-bytes", "cache events", "bytes of the answer", "B", "internal/adapters/engineclient", ""},
	{"polling/read-bytes", "", "bytes of a read of config/head", "B", "internal/adapters/platformclient", "both directions, HTTP and TCP/IP headers"},
	{"polling/read-cpu", "", "processor time of the same", "µs", "internal/adapters/platformclient", "includes the stand-in"},
	{"polling/write-bytes", "", "bytes of a write", "B", "internal/adapters/platformclient", "both directions, HTTP and TCP/IP headers"},
	{"operators/impact", "upstreams (customers 0.8 x)", "processor time of the impact of one drained upstream", "ms", "internal/policy", ""},
	{"operators/document", "customers and upstreams", "configuration text", "B", "internal/policy", ""},
	{"operators/delta", "", "row of a change of one label", "B", "internal/configlog", ""},
}

// slopes returns the measured slopes in the order of the definitions.
func slopes(points map[string][]Point) []Slope {
	var out []Slope
	for _, d := range definitions {
		list := points[d.name]
		if len(list) == 0 {
			continue
		}
		out = append(out, Slope{
			Name: d.name, X: d.x, Y: d.y, Unit: d.unit, Mechanism: d.mechanism, Note: d.note,
			Points: list, Fit: LeastSquares(list),
		})
	}
	return out
}
