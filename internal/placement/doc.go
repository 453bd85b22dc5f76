// Package placement decides which models, adapters and versions each engine
// holds and in which role, and keeps the engines in that state.
//
// It exists because demand for adapters and versions moves during the day,
// loads are slow and share a rate-limited weight store, and orders get lost,
// arrive late or come from a director that was replaced. The signals are
// waiting demand per artefact and class, and the engines' load reports. It
// does harm when demand changes faster than loads complete; thresholds, a
// minimum dwell time and one change per engine at a time damp it.
//
// Planner is a pure state machine; Director runs it for one region under the
// lease placement/<region>. Orders state the whole desired content of an
// engine and carry the fencing token of the lease, so that repeating one has
// no effect and engines that check tokens refuse an earlier director. Engines
// that do not check tokens are repaired from their reports.
package placement
