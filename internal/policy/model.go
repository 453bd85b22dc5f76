package policy

import (
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
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
}

// Tier is one service tier. Rank 0 is the most urgent.
type Tier struct {
	ID   domain.TierID
	Rank int
	// MinShare is the fraction (0 to 1) of dispatched tokens that the tier
	// receives at least while it has work waiting.
	MinShare float64
	// QueueTokens bounds the estimated tokens waiting per daemon and model.
	QueueTokens int
	// Preempts allows the tier to preempt running work of lower tiers.
	Preempts bool
}

// ServiceLevel holds latency targets. Zero means that there is no target.
type ServiceLevel struct {
	Name          string
	FirstToken    time.Duration
	BetweenTokens time.Duration
	WholeAnswer   time.Duration
	// Attainment is the fraction (0 to 1) of requests meant to meet the targets.
	Attainment float64
	// RemotePenalty is the predicted gain in first-token time below which a
	// remote region is not used.
	RemotePenalty time.Duration
}

// Model is one language model and its adapters.
type Model struct {
	ID            domain.ModelID
	Adapters      []string
	ContextTokens int
	// WeightBytes is what loading the model costs at the weight store.
	WeightBytes int64
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
	ID     domain.ClassID
	Labels map[string]string
	// Repeatable is false for calls that must run at most once.
	Repeatable bool
	// Hedge allows a second attempt before the first token.
	Hedge     bool
	MaxTokens int
	// Queue time after which a waiting request is answered not-run; zero
	// means no bound.
	MaxWait     time.Duration
	Limits      Limits
	ClaimOutage ClaimOutage
}

// Limits bounds one customer or class per daemon fleet. Zero means unlimited.
type Limits struct {
	RequestsPerSecond float64
	TokensPerMinute   float64
	Concurrent        int
	Connections       int
}

// Customer is one caller account.
type Customer struct {
	ID           domain.CustomerID
	Labels       map[string]string
	DefaultClass domain.ClassID
	// Weight is the customer's relative share inside a tier. Default 1.
	Weight float64
	Limits Limits
	Team   string
}

// Upstream is one rented back end.
type Upstream struct {
	ID      domain.UpstreamID
	Kind    domain.UpstreamKind
	Service string // service name for KindService
	Address string // IP:port
	Region  domain.Region
	Zone    domain.AvailabilityZone
	Labels  map[string]string
	Models  []domain.ModelID
	// Adapters lists the adapters that may be used there; empty means all of
	// its models' adapters.
	Adapters []string
	Role     domain.Role
	// Slots is the number of requests that it runs at once.
	Slots         int
	ChecksFencing bool
	Draining      bool
}

// Region is one region and its billed links.
type Region struct {
	ID    domain.Region
	Zones []domain.AvailabilityZone
	// RTT is the round-trip time to other regions.
	RTT map[domain.Region]time.Duration
	// PricePerGB is the price of a gigabyte sent to or from other regions, in
	// the operator's currency.
	PricePerGB map[domain.Region]float64
}

// Rule lets matching traffic reach matching upstreams.
type Rule struct {
	Name       string
	Customers  Selector
	Classes    Selector
	Upstreams  Selector
	Tier       domain.TierID
	Level      string
	Precedence int
	File       string
	Line       int
}

// Route is what the rules give for one customer and class. It is immutable.
type Route struct {
	Customer *Customer
	Class    *Class
	Tier     *Tier
	Level    *ServiceLevel
	// Upstreams holds ascending indexes into Policy.Upstreams.
	Upstreams []int
	Rules     []string // names of the rules that matched
}
