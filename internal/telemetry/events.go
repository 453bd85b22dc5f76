package telemetry

import (
	"io"

	"github.com/rs/zerolog"
)

// Event is one numbered kind of log line.
type Event struct {
	Code    string // ADnnnn, never reused
	Name    string // short name, snake_case
	Level   zerolog.Level
	Meaning string
}

// The events by area: 1 process, 2 requests, 3 configuration, 4 peers and
// membership, 5 drain, 6 leases and placement, 7 administration, 8 platform
// and upstreams.
var (
	DaemonStarting   = Event{"AD1001", "daemon_starting", zerolog.InfoLevel, "The daemon has read its settings and starts its listeners."}
	DaemonReady      = Event{"AD1002", "daemon_ready", zerolog.InfoLevel, "A configuration is in force and the daemon accepts requests."}
	DaemonUnready    = Event{"AD1003", "daemon_unready", zerolog.WarnLevel, "The daemon does not accept requests; reason says why."}
	ShutdownStarted  = Event{"AD1004", "shutdown_started", zerolog.InfoLevel, "A planned stop began; requests in progress continue."}
	ShutdownComplete = Event{"AD1005", "shutdown_complete", zerolog.InfoLevel, "The daemon stopped; ended is the number of requests that were in progress when the time was over, which the daemon answered itself if their responses had not begun; cut is the number of those that still had no answer at the end."}

	CertificatesLoaded   = Event{"AD1006", "certificates_loaded", zerolog.InfoLevel, "Changed TLS files were read and serve new connections."}
	CertificatesRejected = Event{"AD1007", "certificates_rejected", zerolog.WarnLevel, "Changed TLS files could not be used; the last good ones stay in use."}

	SettingsReloaded = Event{"AD1008", "settings_reloaded", zerolog.InfoLevel, "The settings were read again, after a signal or because the file changed."}
	SettingsRejected = Event{"AD1009", "settings_rejected", zerolog.ErrorLevel, "Changed settings can't be read; the earlier ones stay in use."}

	PanicContained = Event{"AD1010", "panic_contained", zerolog.ErrorLevel, "Code that handles one message, row or page panicked; the message is dropped or read again, the daemon goes on."}

	ProcessPaused = Event{"AD1011", "process_paused", zerolog.WarnLevel, "The process or its VM was paused; the daemon asks the platform at once whether its tables are current."}

	AdmissionDecision = Event{"AD2001", "admission_decision", zerolog.InfoLevel, "A request was queued, dispatched or refused; reason says why."}
	RoutingDecision   = Event{"AD2002", "routing_decision", zerolog.InfoLevel, "An upstream was picked; candidates, scores and exclusions are listed."}
	AttemptFailed     = Event{"AD2003", "attempt_failed", zerolog.WarnLevel, "An attempt at an upstream failed; error says how, attempt_events how many events it gave, parts which parts of its prompt other requests may share."}
	StreamContinued   = Event{"AD2005", "stream_continued", zerolog.InfoLevel, "A generation was continued on another upstream."}
	RequestHedged     = Event{"AD2006", "request_hedged", zerolog.InfoLevel, "A second attempt was started before the first token."}
	RequestPreempted  = Event{"AD2007", "request_preempted", zerolog.InfoLevel, "A running request gave way to a higher tier."}
	RequestFinished   = Event{"AD2008", "request_finished", zerolog.InfoLevel, "A request ended; outcome, latencies and waste are listed."}
	RequestShed       = Event{"AD2009", "request_shed", zerolog.WarnLevel, "A request was refused by admission control or removed from its queue."}
	ClaimSettled      = Event{"AD2010", "claim_settled", zerolog.InfoLevel, "A call that must not be repeated was claimed, replayed or refused."}

	PartBlocked   = Event{"AD2011", "part_blocked", zerolog.WarnLevel, "Requests with a part of a prompt, or all copies of one request (whole_request), are refused, because upstreams crashed that began to answer on it; score, crashes and own_crashes are the evidence, hold_ms how long it holds."}
	PartUnblocked = Event{"AD2012", "part_unblocked", zerolog.WarnLevel, "Requests with a part of a prompt, or all copies of one request, are no longer refused; sound says that a response got past the part, refused how many requests the block refused."}

	ConnectionClosed = Event{"AD2020", "connection_closed", zerolog.WarnLevel, "A caller's connection without a complete request was closed; reason says which limit was reached (header_memory, connections or header_time), listener whose, total how many were closed for that reason. At most one line in ten seconds for each reason."}

	ConfigurationInForce  = Event{"AD3001", "configuration_in_force", zerolog.InfoLevel, "A revision was compiled and is in force on this daemon."}
	ConfigurationRejected = Event{"AD3002", "configuration_rejected", zerolog.ErrorLevel, "A revision could not be compiled; the earlier one stays in force."}
	ConfigurationPoll     = Event{"AD3003", "configuration_poll_failed", zerolog.WarnLevel, "The configuration head could not be read."}
	ConfigurationProposed = Event{"AD3004", "configuration_proposed", zerolog.InfoLevel, "A change was accepted, merged or found in conflict."}

	PeerConnected = Event{"AD4001", "peer_connected", zerolog.InfoLevel, "A connection to another daemon is open."}
	PeerLost      = Event{"AD4002", "peer_lost", zerolog.WarnLevel, "A connection to another daemon ended or went silent."}
	MemberChanged = Event{"AD4003", "member_changed", zerolog.InfoLevel, "A daemon joined, is suspected, is gone, or has ended by the word of its machine, which refuses connections."}
	RosterRenewal = Event{"AD4004", "roster_renewal_failed", zerolog.WarnLevel, "The daemon's roster row could not be renewed."}

	PeerMessageRejected = Event{"AD4005", "peer_message_rejected", zerolog.WarnLevel, "A message to or from a peer, or its row in the directory, can't be used."}
	PeerDirectoryFailed = Event{"AD4006", "peer_directory_failed", zerolog.WarnLevel, "The directory of daemons can't be reached; known peers stay in use."}

	PeerRowRemoved = Event{"AD4009", "peer_row_removed", zerolog.InfoLevel, "The directory row of a daemon that has been silent for long was removed."}
	SeedCopyRead   = Event{"AD4008", "seed_copy_read", zerolog.InfoLevel, "The platform has not answered since the start; a seed's copy of the table was read."}
	TableBehind    = Event{"AD4010", "table_behind", zerolog.WarnLevel, "Peers have had a change of a table for two seconds that this daemon lacks; reads and failed are its attempts to read a peer's copy, reader the daemon that reads the table for it."}
	PeerCopyRead   = Event{"AD4007", "peer_copy_read", zerolog.InfoLevel, "A change did not come from the platform in time; a peer's copy of the table was read."}

	DrainStep    = Event{"AD5001", "drain_step", zerolog.InfoLevel, "An upstream moved to another drain phase; reason says why."}
	DrainWarning = Event{"AD5002", "drain_warning", zerolog.WarnLevel, "A drain needs attention, for example the last upstream of a class."}

	LeaseChanged      = Event{"AD6001", "lease_changed", zerolog.InfoLevel, "A lease was taken, renewed late, or lost."}
	PlacementDecision = Event{"AD6002", "placement_decision", zerolog.InfoLevel, "An order to an engine was decided; reason says why."}
	OrderFailed       = Event{"AD6003", "order_failed", zerolog.WarnLevel, "An engine did not accept an order."}

	UsageCollected     = Event{"AD6010", "usage_collected", zerolog.InfoLevel, "The counts of a window were collected; silent is the number of daemons whose counts are not known in full, reported says whether the window is reported."}
	UsageReported      = Event{"AD6011", "usage_reported", zerolog.InfoLevel, "The usage of a window was reported; calls is how many calls this daemon made for it, after_ms the time since the window's end."}
	UsageMissed        = Event{"AD6012", "usage_missed", zerolog.ErrorLevel, "The usage of a window was not reported while the report was due."}
	UsageCallFailed    = Event{"AD6013", "usage_call_failed", zerolog.WarnLevel, "A call to the store or to the platform's API for the usage of a window failed; it is repeated until the report is due."}
	UsageCountsDropped = Event{"AD6014", "usage_counts_dropped", zerolog.WarnLevel, "Counts of usage were invalid or exceeded a bound and are lost; total counts all of them. At most one line in ten seconds."}
	ClockStepHeld      = Event{"AD6015", "clock_step_held", zerolog.WarnLevel, "The wall clock was stepped; usage is counted by the earlier clock for hold_ms."}
	UsageWindowLeft    = Event{"AD6016", "usage_window_left", zerolog.WarnLevel, "The usage of a window is left out by a new holder of the duties: the store was restored from an older copy after the window had ended, and may have lost the row that an earlier holder has reported."}
	DutyHolderChanged  = Event{"AD6004", "duty_holder_changed", zerolog.InfoLevel, "This daemon has acquired the duties that one daemon has for all, or lost them; since says when, acts_after_ms how long it waits before its first act."}
	DutyActRefused     = Event{"AD6005", "duty_act_refused", zerolog.WarnLevel, "An act was not started, or its call not sent, because the daemon's term had ended; total counts all of them. At most one line in ten seconds."}
	DutyCallFailed     = Event{"AD6006", "duty_call_failed", zerolog.WarnLevel, "A call to the platform's API failed, was refused or took longer than the margin of the lease; total counts all of them. At most one line in ten seconds."}

	AdminChange  = Event{"AD7001", "admin_change", zerolog.InfoLevel, "An operator changed something through the administration API."}
	AdminRefused = Event{"AD7002", "admin_refused", zerolog.WarnLevel, "An administration call was refused: not authenticated or out of scope."}

	PlatformError    = Event{"AD8001", "platform_error", zerolog.WarnLevel, "A call to the platform failed."}
	UpstreamHealth   = Event{"AD8002", "upstream_health", zerolog.InfoLevel, "An upstream was ejected, is on probation, or returned."}
	PlatformLost     = Event{"AD8004", "platform_lost", zerolog.WarnLevel, "A table of the platform can't be reached; its copy stays in use and ages."}
	PlatformRegained = Event{"AD8005", "platform_regained", zerolog.InfoLevel, "A table of the platform is reached again."}

	UpstreamsListed      = Event{"AD8006", "upstreams_listed", zerolog.InfoLevel, "The whole list of registered upstreams was read."}
	UpstreamRegistered   = Event{"AD8007", "upstream_registered", zerolog.InfoLevel, "An upstream registered itself or changed its registration; configured says whether the configuration in force names its service."}
	UpstreamUnlisted     = Event{"AD8008", "upstream_unlisted", zerolog.InfoLevel, "The registration of an upstream is gone or can't be read."}
	RegistrationRejected = Event{"AD8009", "registration_rejected", zerolog.WarnLevel, "A registration can't be read and names no upstream to use."}
	TableReaderChanged   = Event{"AD8010", "table_reader_changed", zerolog.InfoLevel, "Another daemon of the group reads a table for this one, or, without a reader, this one reads it again."}

	PlatformReturned = Event{"AD8012", "platform_returned", zerolog.InfoLevel, "A peer reports that the platform responds again; calls that are still open are repeated."}

	UpstreamExceededBound = Event{"AD8013", "upstream_exceeded_bound", zerolog.WarnLevel, "A response exceeded one of the bounds on what an upstream may send; its connection is closed."}

	UpstreamCrashed = Event{"AD8014", "upstream_crashed", zerolog.WarnLevel, "An upstream ended before the fourth event of a response; begun says whether the upstream had just begun to work on the request, parts which parts of the prompt other requests may share, whole what identifies the request, route and customer where it came from."}

	UpstreamLeaving = Event{"AD8015", "upstream_leaving", zerolog.InfoLevel, "An upstream says in a response that it is leaving; the daemon sends it no more requests until it has started again."}
	UpstreamPaused  = Event{"AD8016", "upstream_paused", zerolog.InfoLevel, "An upstream refused a request and asked for a pause; pause_ms is how long the daemon sends it nothing, ignored a pause that can't be read."}

	UpstreamLoadInvalid = Event{"AD8017", "upstream_load_invalid", zerolog.WarnLevel, "An upstream sends a load that can't be read and has no effect; total counts all of them. At most one line in ten seconds."}

	PlatformRestored = Event{"AD8018", "platform_restored", zerolog.WarnLevel, "The platform has come back from an older copy of its data; a table was read anew as of table_version of the new era."}

	SoftwareVersionsMixed = Event{"AD8019", "software_versions_mixed", zerolog.InfoLevel, "Upstreams of several software versions of a service are in service; the daemon shares at which one its streams began."}
	OriginsNotShared      = Event{"AD8020", "origins_not_shared", zerolog.WarnLevel, "The table that says at which software versions streams began could not be read or written; peers are asked about streams of other daemons meanwhile."}
	OriginUnknown         = Event{"AD8021", "origin_unknown", zerolog.InfoLevel, "A caller takes up a stream, and it is not known at which software version of the service it began. rows says what the platform's table was worth, listed whether the platform confirmed the list of upstreams; known_s is for how long the daemon has heard of all versions; asked and answered are peers, fleet is the number of daemons."}

	SettingsFinding = Event{"AD1012", "settings_finding", zerolog.WarnLevel, "A part of the settings can't be used; the daemon serves without it."}

	UpstreamEnded = Event{"AD8011", "upstream_ended", zerolog.InfoLevel, "A process that started later is listed at the address of an upstream, which gets requests only when no other upstream can take them."}

	LoadReportError = Event{"AD8003", "load_report_failed", zerolog.DebugLevel, "An upstream's load report could not be read."}
)

// Catalogue lists every event in code order.
var Catalogue = []Event{
	DaemonStarting, DaemonReady, DaemonUnready, ShutdownStarted, ShutdownComplete,
	CertificatesLoaded, CertificatesRejected, SettingsReloaded, SettingsRejected, PanicContained, ProcessPaused, SettingsFinding,
	AdmissionDecision, RoutingDecision, AttemptFailed, StreamContinued,
	RequestHedged, RequestPreempted, RequestFinished, RequestShed, ClaimSettled, PartBlocked, PartUnblocked, ConnectionClosed,
	ConfigurationInForce, ConfigurationRejected, ConfigurationPoll, ConfigurationProposed,
	PeerConnected, PeerLost, MemberChanged, RosterRenewal, PeerMessageRejected, PeerDirectoryFailed, PeerCopyRead, SeedCopyRead, PeerRowRemoved, TableBehind,
	DrainStep, DrainWarning,
	LeaseChanged, PlacementDecision, OrderFailed, DutyHolderChanged, DutyActRefused, DutyCallFailed,
	UsageCollected, UsageReported, UsageMissed, UsageCallFailed, UsageCountsDropped, ClockStepHeld, UsageWindowLeft,
	AdminChange, AdminRefused,
	PlatformError, UpstreamHealth, LoadReportError,
	PlatformLost, PlatformRegained, UpstreamsListed, UpstreamRegistered, UpstreamUnlisted, RegistrationRejected, TableReaderChanged, UpstreamEnded, PlatformReturned, UpstreamExceededBound, UpstreamCrashed, UpstreamLeaving, UpstreamPaused, UpstreamLoadInvalid, PlatformRestored, SoftwareVersionsMixed, OriginsNotShared, OriginUnknown,
}

// Log writes numbered events as JSON lines.
type Log struct {
	logger zerolog.Logger
}

// NewLog returns a Log that writes events of at least level to w.
func NewLog(w io.Writer, level zerolog.Level, daemon string) *Log {
	return &Log{logger: zerolog.New(w).Level(level).With().Timestamp().Str("daemon", daemon).Logger()}
}

// NopLog returns a Log that discards everything.
func NopLog() *Log { return &Log{logger: zerolog.Nop()} }

// Event starts a line for e. It returns nil, on which all zerolog methods do
// nothing, when the level is disabled.
func (l *Log) Event(e Event) *zerolog.Event {
	line := l.logger.WithLevel(e.Level)
	if l.logger.GetLevel() > e.Level {
		return nil
	}
	return line.Str("event", e.Code).Str("name", e.Name)
}

// Enabled reports whether events like e are written, so that a caller can
// skip gathering their fields.
func (l *Log) Enabled(e Event) bool {
	return l.logger.GetLevel() <= e.Level
}
