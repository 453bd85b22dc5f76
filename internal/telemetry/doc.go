// Package telemetry writes the system's numbered log events and its metrics.
//
// Each event has a stable code (ADnnnn) and is listed in Catalogue and in
// docs/events.md. Metrics live in a go-metrics registry; labels are part of a
// metric's name, and WritePrometheus prints the registry in the text format
// that common scrapers read.
package telemetry
