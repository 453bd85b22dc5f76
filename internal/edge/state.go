package edge

import (
	"sync"
	"time"

	"github.com/auburndyke/auburndyke/internal/balancer"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/httproute"
	"github.com/auburndyke/auburndyke/internal/inventory"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/relay"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// Decoders decodes the rows of the platform's tables.
type Decoders struct {
	// IsConfig reports whether a row holds the configuration.
	IsConfig func(key string) bool
	// Config decodes the configuration.
	Config func(value []byte) (*httproute.Config, error)
	// Registration decodes what an upstream registered under its id.
	Registration func(id string, value []byte) (inventory.Registration, error)
}

// state applies what the platform's tables say.
type state struct {
	formats  Decoders
	log      *telemetry.Log
	handler  *relay.Handler
	balancer *balancer.Balancer

	mu        sync.Mutex
	inventory *inventory.Inventory
	// listed is set once the list of upstreams was read.
	listed bool
	// announced is set once the log tells that the daemon is ready.
	announced bool
	// ended holds the upstreams whose end was logged.
	ended map[domain.UpstreamID]domain.Incarnation
	// changed is called when a table has changed. Nil means nobody asks.
	changed func()
	// expire is armed for the next entry of the list that ends.
	expire *time.Timer
}

// setRemovalHold changes how long an upstream without a registration may get
// work.
func (s *state) setRemovalHold(d time.Duration) {
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

func (s *state) readyLocked() bool { return s.listed && s.handler.Table() != nil }

// announce tells the log once that both tables are known. The caller holds mu.
func (s *state) announce() {
	if s.announced || !s.readyLocked() {
		return
	}
	s.announced = true
	s.log.Event(telemetry.DaemonReady).Uint64("revision", uint64(s.handler.Table().Version)).
		Int("upstreams", len(s.inventory.Entries())).Send()
}

// putInForce applies a configuration unless a later one is in force.
func (s *state) putInForce(value []byte, version ports.Version) {
	config, err := s.formats.Config(value)
	if err != nil {
		s.rejected(err, version)
		return
	}
	table, err := httproute.Compile(config)
	if err != nil {
		s.rejected(err, version)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var before domain.Revision
	if old := s.handler.Table(); old != nil {
		if before = old.Version; table.Version <= before {
			return
		}
	}
	s.handler.SetTable(table)
	s.updateBalancer()
	s.log.Event(telemetry.ConfigurationInForce).
		Uint64("revision", uint64(table.Version)).Uint64("previous", uint64(before)).
		Uint64("row_version", uint64(version)).Int("routes", len(config.Routes)).Int("customers", len(config.Customers)).
		Send()
	s.announce()
}

func (s *state) tellChange() {
	if s.changed != nil {
		s.changed()
	}
}

func (s *state) rejected(err error, version ports.Version) {
	s.log.Event(telemetry.ConfigurationRejected).Err(err).Uint64("row_version", uint64(version)).Send()
}

// updateBalancer hands the list to the balancer. The caller holds mu.
func (s *state) updateBalancer() {
	table := s.handler.Table()
	entries := s.inventory.Entries()
	s.logEnded(entries)
	s.balancer.Update(time.Now(), entries, func(service string) balancer.Engine {
		if table == nil {
			return balancer.Engine{}
		}
		known := table.Service(service)
		if known == nil || known.Engine == nil {
			return balancer.Engine{}
		}
		gaps := table.Gaps(service)
		e := balancer.Engine{KVTokens: known.Engine.KVTokens, EventTokens: known.Engine.EventTokens, ShortestGap: gaps.Shortest, LongestGap: gaps.Longest}
		if rate := known.Engine.LinkBitRate; rate > 0 {
			e.TokenFetchTime = time.Duration(float64(known.Engine.KVTokenBytes*8) / rate * float64(time.Second))
		}
		return e
	})
	s.armExpiry()
}

// logEnded writes a line for each upstream that has lost its address since the
// last list. The caller holds mu.
func (s *state) logEnded(entries []inventory.Entry) {
	ended := make(map[domain.UpstreamID]domain.Incarnation)
	for _, e := range entries {
		if e.State != inventory.Superseded {
			continue
		}
		ended[e.ID] = e.Incarnation
		if before, known := s.ended[e.ID]; !known || before != e.Incarnation {
			s.log.Event(telemetry.UpstreamEnded).Str("upstream", string(e.ID)).Str("service", e.Service).
				Str("address", e.Address).Uint64("incarnation", uint64(e.Incarnation)).Send()
		}
	}
	s.ended = ended
}

// armExpiry sets the timer for the next removed entry that ends.
func (s *state) armExpiry() {
	if s.expire != nil {
		s.expire.Stop()
		s.expire = nil
	}
	if at, ok := s.inventory.NextExpiry(); ok {
		s.expire = time.AfterFunc(time.Until(at), s.expireEntries)
	}
}

func (s *state) expireEntries() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inventory.Expire(time.Now())
	s.updateBalancer()
}

// configSink takes rows of the configuration table.
type configSink struct{ *state }

func (s configSink) Replace(now time.Time, rows []ports.Row, version ports.Version) {
	s.Apply(now, rows, version)
}

func (s configSink) Apply(_ time.Time, rows []ports.Row, _ ports.Version) {
	for _, row := range rows {
		if s.formats.IsConfig(row.Key) && !row.Deleted {
			s.putInForce(row.Value, row.Version)
		}
	}
	s.tellChange()
}

func (s configSink) Lost(err error, since time.Time) { s.lost("configuration", err, since) }

func (s configSink) Regained(after time.Duration) { s.regained("configuration", after) }

// upstreamSink takes rows of the table of registrations.
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
	s.inventory.Replace(now, all)
	s.listed = true
	s.updateBalancer()
	s.log.Event(telemetry.UpstreamsListed).Int("upstreams", len(all)).Uint64("table_version", uint64(version)).Send()
	s.announce()
	s.tellChange()
}

func (s upstreamSink) Apply(now time.Time, rows []ports.Row, _ ports.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range rows {
		if r, ok := s.decode(row); ok {
			s.inventory.Register(r)
			s.log.Event(telemetry.UpstreamRegistered).
				Str("upstream", row.Key).Str("service", r.Service).Str("address", r.Address).
				Bool("draining", r.Draining).Uint64("incarnation", uint64(r.Incarnation)).
				Uint64("row_version", uint64(row.Version)).Send()
			continue
		}
		s.inventory.Remove(now, domain.UpstreamID(row.Key))
		s.log.Event(telemetry.UpstreamUnlisted).Str("upstream", row.Key).Uint64("row_version", uint64(row.Version)).Send()
	}
	s.updateBalancer()
	s.tellChange()
}

// decode returns the registration in a row, if it holds one.
func (s upstreamSink) decode(row ports.Row) (inventory.Registration, bool) {
	if row.Deleted {
		return inventory.Registration{}, false
	}
	r, err := s.formats.Registration(row.Key, row.Value)
	if err != nil {
		s.log.Event(telemetry.RegistrationRejected).Err(err).Str("upstream", row.Key).
			Uint64("row_version", uint64(row.Version)).Send()
		return r, false
	}
	r.TableVersion = row.Version
	return r, true
}

func (s upstreamSink) Lost(err error, since time.Time) { s.lost("upstreams", err, since) }

func (s upstreamSink) Regained(after time.Duration) { s.regained("upstreams", after) }

func (s *state) lost(table string, err error, since time.Time) {
	s.log.Event(telemetry.PlatformLost).Err(err).Str("table", table).
		Int64("last_contact_ms", time.Since(since).Milliseconds()).Send()
}

func (s *state) regained(table string, after time.Duration) {
	s.log.Event(telemetry.PlatformRegained).Str("table", table).Int64("after_ms", after.Milliseconds()).Send()
}
