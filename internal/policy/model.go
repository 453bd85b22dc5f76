package policy

import (
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/tomlstrict"
)

// Policy is one compiled configuration. It is immutable and shared by all
// requests that start while it is in force.
type Policy struct {
	Revision  domain.Revision
	Tiers     []Tier // by rank; index is the rank
	Levels    map[string]*ServiceLevel
	Models    map[domain.ModelID]*Model
	Classes   map[domain.ClassID]*Class
	Customers map[domain.CustomerID]*Customer
	Upstreams []Upstream // index is used by Route
	Regions   map[domain.Region]*Region
	Rules     []Rule
	Routing   Routing

	index index
}

// Tier is one service tier. Rank 0 is the most urgent.
type Tier struct {
	*tomlstrict.Place `toml:"-" json:"-" cbor:"-"`

	ID   domain.TierID `toml:"id,required"`
	Rank int           `toml:"rank,required"`
	// MinShare is the fraction (0 to 1) of dispatched tokens that the tier
	// receives at least while it has work waiting.
	MinShare float64 `toml:"min_share,share"`
	// QueueTokens bounds the estimated tokens waiting per daemon and model.
	QueueTokens int `toml:"queue_tokens"`
	// Preempts allows the tier to preempt running work of lower tiers.
	Preempts bool `toml:"preempts"`
}

// ServiceLevel holds latency targets. Zero means that there is no target.
type ServiceLevel struct {
	*tomlstrict.Place `toml:"-" json:"-" cbor:"-"`

	Name          string        `toml:"id,required"`
	FirstToken    time.Duration `toml:"first_token"`
	BetweenTokens time.Duration `toml:"between_tokens"`
	WholeAnswer   time.Duration `toml:"whole_answer"`
	// Attainment is the fraction (0 to 1) of requests meant to meet the targets.
	Attainment float64 `toml:"attainment,share"`
	// RemotePenalty is the predicted gain in first-token time below which a
	// remote region is not used.
	RemotePenalty time.Duration `toml:"remote_penalty"`
}

// Model is one language model and its adapters.
type Model struct {
	*tomlstrict.Place `toml:"-" json:"-" cbor:"-"`

	ID            domain.ModelID `toml:"id,required"`
	Adapters      []string       `toml:"adapters"`
	ContextTokens int            `toml:"context_tokens"`
	// WeightBytes is what loading the model costs at the weight store.
	WeightBytes int64 `toml:"weight_size,size"`
}

// ClaimOutage says what happens to a call that must not be repeated while
// the platform's table service cannot be reached.
type ClaimOutage string

const (
	// ClaimOutageRefuse answers not-run. It is the default.
	ClaimOutageRefuse ClaimOutage = "refuse"
	// ClaimOutageWait holds the call until its deadline, then answers not-run.
	ClaimOutageWait ClaimOutage = "wait"
)

// Class is one request class.
type Class struct {
	*tomlstrict.Place `toml:"-" json:"-" cbor:"-"`

	ID domain.ClassID `toml:"id,required"`
	// Team is the team whose administration tokens may change the labels.
	Team   string            `toml:"team"`
	Labels map[string]string `toml:"labels"`
	// Repeatable is false for calls that must run at most once.
	Repeatable bool `toml:"repeatable"`
	// Hedge allows a second attempt before the first token.
	Hedge     bool `toml:"hedge"`
	MaxTokens int  `toml:"max_tokens"`
	// Queue time after which a waiting request is answered not-run; zero
	// means no bound.
	MaxWait     time.Duration `toml:"max_wait"`
	Limits      Limits        `toml:"limits"`
	ClaimOutage ClaimOutage   `toml:"claim_outage"`
}

// Limits bounds one customer or class per daemon fleet. Zero means unlimited.
type Limits struct {
	RequestsPerSecond float64 `toml:"requests_per_second"`
	TokensPerMinute   float64 `toml:"tokens_per_minute"`
	Concurrent        int     `toml:"concurrent"`
	Connections       int     `toml:"connections"`
}

// Customer is one caller account.
type Customer struct {
	*tomlstrict.Place `toml:"-" json:"-" cbor:"-"`

	ID           domain.CustomerID `toml:"id,required"`
	Labels       map[string]string `toml:"labels"`
	DefaultClass domain.ClassID    `toml:"default_class"`
	// Weight is the customer's relative share inside a tier. Default 1.
	Weight float64 `toml:"weight"`
	Limits Limits  `toml:"limits"`
	Team   string  `toml:"team"`
	// APIKeys holds the hashes of the keys that identify the customer.
	APIKeys []KeyHash `toml:"api_key_sha256,required"`
}

// Upstream is one rented back end.
type Upstream struct {
	*tomlstrict.Place `toml:"-" json:"-" cbor:"-"`

	ID      domain.UpstreamID       `toml:"id,required"`
	Kind    domain.UpstreamKind     `toml:"kind,required"`
	Service string                  `toml:"service"`          // service name for KindService
	Address string                  `toml:"address,required"` // IP:port
	Region  domain.Region           `toml:"region,required"`
	Zone    domain.AvailabilityZone `toml:"zone,required"`
	Labels  map[string]string       `toml:"labels"`
	Models  []domain.ModelID        `toml:"models"`
	// Adapters lists the adapters that may be used there; empty means all of
	// its models' adapters.
	Adapters []string    `toml:"adapters"`
	Role     domain.Role `toml:"role"`
	// Slots is the number of requests that it runs at once.
	Slots int `toml:"slots,required"`
	// KVCacheBytes is the memory for KV cache. Zero means unknown.
	KVCacheBytes  int64 `toml:"kv_cache,size"`
	ChecksFencing bool  `toml:"checks_fencing"`
	Draining      bool  `toml:"draining"`
}

// Region is one region and its billed links.
type Region struct {
	*tomlstrict.Place `toml:"-" json:"-" cbor:"-"`

	ID domain.Region `toml:"id,required"`
	// Zones lists the region's availability zones. A zone belongs to one region.
	Zones []domain.AvailabilityZone `toml:"zones,required"`
	// ZoneRTT is the round-trip time between zones of the region.
	ZoneRTT time.Duration `toml:"zone_rtt"`
	// RTT is the round-trip time to other regions.
	RTT map[domain.Region]time.Duration `toml:"rtt"`
	// PricePerGB is the price of a gigabyte sent to or from other regions, in
	// the operator's currency.
	PricePerGB map[domain.Region]float64 `toml:"price_per_gb"`
}

// Rule lets matching traffic reach matching upstreams.
type Rule struct {
	*tomlstrict.Place `toml:"-" json:"-" cbor:"-"`

	Name       string        `toml:"id,required"`
	Customers  Selector      `toml:"customers"`
	Classes    Selector      `toml:"classes"`
	Upstreams  Selector      `toml:"upstreams"`
	Tier       domain.TierID `toml:"tier,required"`
	Level      string        `toml:"service_level,required"`
	Precedence int           `toml:"precedence,signed"`
}

// Route is what the rules give for one customer and class. It is immutable.
type Route struct {
	Customer *Customer
	Class    *Class
	Tier     *Tier
	Level    *ServiceLevel
	// Upstreams holds ascending indexes into Policy.Upstreams.
	Upstreams []int
	Rules     []string // names of the rules that decided

	decision *decision
}

// Routing holds the prices that upstream selection weighs against latency.
type Routing struct {
	*tomlstrict.Place `toml:"-" json:"-" cbor:"-"`

	// SecondValue is what one second of predicted first-token gain is worth,
	// in the operator's currency. Default 0: a remote region is used only
	// when its link costs nothing.
	SecondValue float64 `toml:"second_value"`
	// BytesPerToken is the volume that one generated token takes on a link
	// between regions. Default 256.
	BytesPerToken int `toml:"bytes_per_token"`
}
