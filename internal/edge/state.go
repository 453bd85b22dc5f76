package edge

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/auburndyke/auburndyke/internal/balancer"
	"github.com/auburndyke/auburndyke/internal/contain"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/follow"
	"github.com/auburndyke/auburndyke/internal/httproute"
	"github.com/auburndyke/auburndyke/internal/inventory"
	"github.com/auburndyke/auburndyke/internal/origin"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/relay"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// lapseGrace is how long after an outage of the platform upstreams without a
// registration may get requests. Those that run register again within about two
// seconds.
const lapseGrace = 2200 * time.Millisecond

// Decoders decode the rows of the platform's tables.
type Decoders struct {
	// IsConfig reports whether a row holds the configuration.
	IsConfig func(key string) bool
	// Config decodes the configuration.
	Config func(value []byte) (*httproute.Config, error)
	// Registration decodes an upstream's registration.
	Registration func(id string, value []byte) (inventory.Registration, error)
}

// state applies the rows of the platform's tables to the relay and the balancer.
type state struct {
	decoders Decoders
	log      *telemetry.Log
	handler  *relay.Handler
	balancer *balancer.Balancer

	mu        sync.Mutex
	inventory *inventory.Inventory
	// upstreamsLost is set while the list of upstreams can't be read.
	upstreamsLost bool
	// upstreamsRead is set once the list of upstreams has been read.
	upstreamsRead bool
	// readyLogged is set once the log says that the daemon is ready.
	readyLogged bool
	// loggedSuperseded holds the superseded upstreams that are logged.
	loggedSuperseded map[domain.UpstreamID]domain.Incarnation
	// origins learns the software versions of the listed upstreams. It may be nil.
	origins *origin.Keeper
	// era is raised by copies of tables that come from peers.
	era *follow.Era
	// eras holds the platform's era of each table.
	eras map[string]uint64
	// onChange is called when a table has changed. It may be nil.
	onChange func()
	// listChangedSince returns the earliest time at which changes of the list of upstreams
	// may have been made that come at the given time. Nil means that time itself.
	listChangedSince func(now time.Time) time.Time
	// expiryTimer fires when the next removed entry of the list expires.
	expiryTimer *time.Timer
}

// setRemovalGrace changes how long an upstream without a registration may get
// requests.
func (s *state) setRemovalGrace(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inventory.SetRemovalGrace(d)
	s.armExpiry()
}

// ready reports whether requests can be served.
func (s *state) ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readyLocked()
}

func (s *state) readyLocked() bool { return s.upstreamsRead && s.handler.Table() != nil }

// logReady logs once that both tables have been read. The caller holds mu.
func (s *state) logReady() {
	if s.readyLogged || !s.readyLocked() {
		return
	}
	s.readyLogged = true
	s.log.Event(telemetry.DaemonReady).Uint64("revision", uint64(s.handler.Table().Version)).
		Int("upstreams", len(s.inventory.Entries(s.configured))).Send()
}

// applyConfig applies a configuration that is newer than the current one.
func (s *state) applyConfig(value []byte, version ports.Version) {
	var config *httproute.Config
	var table *httproute.Table
	err := contain.Do(s.log, "a configuration", func() (err error) {
		if config, err = s.decoders.Config(value); err == nil {
			table, err = httproute.Compile(config)
		}
		return err
	})
	if err != nil {
		s.logRejected(err, version)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var previous domain.Revision
	if old := s.handler.Table(); old != nil {
		if previous = old.Version; table.Version <= previous {
			return
		}
	}
	s.handler.SetTable(table)
	s.updateBalancer()
	s.log.Event(telemetry.ConfigurationInForce).
		Uint64("revision", uint64(table.Version)).Uint64("previous", uint64(previous)).
		Uint64("row_version", version.Number()).Int("routes", len(config.Routes)).Int("customers", len(config.Customers)).
		Send()
	s.logReady()
}

func (s *state) notifyChange() {
	if s.onChange != nil {
		s.onChange()
	}
}

func (s *state) logRejected(err error, version ports.Version) {
	s.log.Event(telemetry.ConfigurationRejected).Err(err).Uint64("row_version", version.Number()).Send()
}

// configured reports whether the configuration in force names a service.
func (s *state) configured(service string) bool {
	table := s.handler.Table()
	return table != nil && table.Service(service) != nil
}

// updateBalancer passes the list of upstreams to the balancer. The caller holds mu.
func (s *state) updateBalancer() {
	table := s.handler.Table()
	entries := s.inventory.Entries(s.configured)
	s.logSuperseded(entries)
	s.observeVersions(entries)
	s.balancer.Update(time.Now(), entries, func(service string) balancer.Engine {
		if table == nil {
			return balancer.Engine{}
		}
		svc := table.Service(service)
		if svc == nil || svc.Engine == nil {
			return balancer.Engine{}
		}
		gaps := table.Gaps(service)
		e := balancer.Engine{KVTokens: svc.Engine.KVTokens, EventTokens: svc.Engine.EventTokens, ShortestGap: gaps.Shortest, LongestGap: gaps.Longest}
		if rate := svc.Engine.LinkBitRate; rate > 0 {
			e.TokenFetchTime = time.Duration(float64(svc.Engine.KVTokenBytes*8) / rate * float64(time.Second))
		}
		return e
	})
	s.armExpiry()
}

// observeVersions passes the software versions of the listed upstreams on.
func (s *state) observeVersions(entries []inventory.Entry) {
	if s.origins == nil {
		return
	}
	versions := make(map[string][]string)
	for _, e := range entries {
		if !slices.Contains(versions[e.Service], e.SoftwareVersion) {
			versions[e.Service] = append(versions[e.Service], e.SoftwareVersion)
		}
	}
	s.origins.Observe(time.Now(), versions)
}

// logSuperseded logs the upstreams that have lost their addresses to later processes
// since the last list. The caller holds mu.
func (s *state) logSuperseded(entries []inventory.Entry) {
	superseded := make(map[domain.UpstreamID]domain.Incarnation)
	for _, e := range entries {
		if e.State != inventory.Superseded {
			continue
		}
		superseded[e.ID] = e.Incarnation
		if logged, ok := s.loggedSuperseded[e.ID]; !ok || logged != e.Incarnation {
			s.log.Event(telemetry.UpstreamEnded).Str("upstream", string(e.ID)).Str("service", e.Service).
				Str("address", e.Address).Uint64("incarnation", uint64(e.Incarnation)).Send()
		}
	}
	s.loggedSuperseded = superseded
}

// armExpiry sets the timer for the next removed entry that expires. The caller
// holds mu.
func (s *state) armExpiry() {
	if s.expiryTimer != nil {
		s.expiryTimer.Stop()
		s.expiryTimer = nil
	}
	if at, ok := s.inventory.NextExpiry(); ok {
		s.expiryTimer = time.AfterFunc(time.Until(at), s.expireEntries)
	}
}

func (s *state) expireEntries() {
	err := contain.Do(s.log, "expired upstreams", func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.inventory.Expire(time.Now())
		s.updateBalancer()
		return nil
	})
	if err != nil {
		// The next change of the list updates the balancer again.
		s.log.Event(telemetry.RegistrationRejected).Err(err).Send()
	}
}

// observeEra logs that a table was read anew after a restoration of the platform, and
// reports whether it was. The caller holds mu.
func (s *state) observeEra(table string, version ports.Version) bool {
	previous, known := s.eras[table]
	if s.eras == nil {
		s.eras = make(map[string]uint64)
	}
	s.eras[table] = version.Era()
	s.era.Observe(time.Now(), version.Era())
	if !known || version.Era() == previous {
		return false
	}
	s.log.Event(telemetry.PlatformRestored).Str("table", table).Uint64("era", version.Era()).Uint64("previous", previous).
		Uint64("table_version", version.Number()).Send()
	return true
}

// configSink receives the rows of the configuration table.
type configSink struct{ *state }

func (s configSink) Replace(now time.Time, rows []ports.Row, version ports.Version) {
	s.mu.Lock()
	s.observeEra(tableConfiguration, version)
	s.mu.Unlock()
	s.Apply(now, rows, version)
}

func (s configSink) Apply(_ time.Time, rows []ports.Row, _ ports.Version) {
	for _, row := range rows {
		if s.decoders.IsConfig(row.Key) && !row.Deleted {
			s.applyConfig(row.Value, row.Version)
		}
	}
	s.notifyChange()
}

func (s configSink) Lost(err error, since time.Time) { s.logLost("configuration", err, since) }

func (s configSink) Regained(after time.Duration) { s.logRegained("configuration", after) }

// upstreamSink receives the rows of the table of registrations.
type upstreamSink struct{ *state }

func (s upstreamSink) Replace(now time.Time, rows []ports.Row, version ports.Version) {
	var all []inventory.Registration
	for _, row := range rows {
		if r, ok := s.decode(row); ok {
			all = append(all, r)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	restored := s.observeEra(tableUpstreams, version)
	s.keepLapsed(now, restored)
	s.inventory.Replace(s.changedSince(now), all)
	s.upstreamsRead = true
	s.updateBalancer()
	s.log.Event(telemetry.UpstreamsListed).Int("upstreams", len(all)).Uint64("table_version", version.Number()).Send()
	s.logReady()
	s.notifyChange()
}

func (s upstreamSink) Apply(now time.Time, rows []ports.Row, _ ports.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keepLapsed(now, false)
	since := s.changedSince(now)
	for _, row := range rows {
		if r, ok := s.decode(row); ok {
			s.inventory.Register(since, r)
			s.log.Event(telemetry.UpstreamRegistered).
				Str("upstream", row.Key).Str("service", r.Service).Str("address", r.Address).
				Str("software", r.SoftwareVersion).Bool("draining", r.Draining).Uint64("incarnation", uint64(r.Incarnation)).
				Bool("configured", s.configured(r.Service)).Uint64("row_version", row.Version.Number()).Send()
			continue
		}
		s.inventory.Remove(since, domain.UpstreamID(row.Key))
		s.log.Event(telemetry.UpstreamUnlisted).Str("upstream", row.Key).Uint64("row_version", row.Version.Number()).Send()
	}
	s.updateBalancer()
	s.notifyChange()
}

// changedSince returns the earliest time at which changes may have been made that come now.
func (s *state) changedSince(now time.Time) time.Time {
	if s.listChangedSince == nil {
		return now
	}
	return s.listChangedSince(now)
}

// keepLapsed keeps upstreams whose registrations have lapsed during an outage of the
// platform, or are missing after its restoration, until those that run have registered
// again. now is the time of the first read after that. The caller holds mu.
func (s upstreamSink) keepLapsed(now time.Time, restored bool) {
	if s.upstreamsLost || restored {
		s.inventory.KeepRemovedUntil(now.Add(lapseGrace))
	}
}

// decode returns the registration in a row, if it holds one.
func (s upstreamSink) decode(row ports.Row) (inventory.Registration, bool) {
	if row.Deleted {
		return inventory.Registration{}, false
	}
	var r inventory.Registration
	err := contain.Do(s.log, "a registration", func() (err error) {
		r, err = s.decoders.Registration(row.Key, row.Value)
		return err
	})
	if err != nil {
		s.log.Event(telemetry.RegistrationRejected).Err(err).Str("upstream", row.Key).
			Uint64("row_version", row.Version.Number()).Send()
		return r, false
	}
	r.TableVersion = row.Version
	return r, true
}

func (s upstreamSink) Lost(err error, since time.Time) {
	// No registration lapses because a daemon calls too often.
	s.setUpstreamsLost(!errors.Is(err, ports.ErrThrottled))
	s.logLost("upstreams", err, since)
}

func (s upstreamSink) Regained(after time.Duration) {
	s.setUpstreamsLost(false)
	s.logRegained("upstreams", after)
}

func (s *state) setUpstreamsLost(lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upstreamsLost = lost
}

func (s *state) logLost(table string, err error, since time.Time) {
	s.log.Event(telemetry.PlatformLost).Err(err).Str("table", table).
		Int64("last_contact_ms", time.Since(since).Milliseconds()).Send()
}

func (s *state) logRegained(table string, after time.Duration) {
	s.log.Event(telemetry.PlatformRegained).Str("table", table).Int64("after_ms", after.Milliseconds()).Send()
}
