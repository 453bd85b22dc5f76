package replay

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"
)

// Deployments lists the deployments that traces are shaped on.
var Deployments = []string{"maraval-bay", "fryline"}

// Scenarios lists the generated scenarios.
var Scenarios = []string{"morning", "burst", "crowding", "stragglers", "stale", "regioncut", "heavytail"}

const (
	traceSeconds = 60
	// normalLoad is the load of an ordinary morning relative to capacity.
	normalLoad = 0.6
	// burstLoad is the load between burstFrom and burstTo.
	burstLoad = 2.0
	burstFrom = 15
	burstTo   = 45
)

// mix is how a class is drawn.
type mix struct {
	share  float64 // of requests
	prompt float64 // mean tokens
	answer float64 // mean tokens
	sigma  float64 // of the logarithm of lengths
}

// deployment is a header with the traffic that it meets.
type deployment struct {
	header Header
	mixes  []mix
}

// Generate returns the trace and the faults of a scenario. The same arguments
// give the same trace.
func Generate(name, scenario string, seed uint64) (*Trace, []Fault, error) {
	var d deployment
	switch name {
	case "maraval-bay":
		d = maravalBay()
	case "fryline":
		d = fryline()
	default:
		return nil, nil, eris.Errorf("deployment %q does not exist, want one of %v", name, Deployments)
	}
	if !slices.Contains(Scenarios, scenario) {
		return nil, nil, eris.Errorf("scenario %q does not exist, want one of %v", scenario, Scenarios)
	}
	d.header.Format = Format
	d.header.Name = name + "/" + scenario
	d.header.Seed = seed
	if scenario == "heavytail" {
		for i := range d.mixes {
			d.mixes[i].sigma = 1.3
		}
	}
	t := &Trace{Header: d.header}
	d.fill(t, scenario, newRand(seed, t.Header.Name))
	return t, d.faults(scenario), nil
}

func (d *deployment) fill(t *Trace, scenario string, rng *rand.Rand) {
	normal := d.capacity() * normalLoad
	for at := 0.0; ; {
		rate := normal
		if scenario == "burst" && at >= burstFrom && at < burstTo {
			rate = d.capacity() * burstLoad
		}
		crowd := 0.0
		if scenario == "crowding" && at >= burstFrom && at < burstTo {
			crowd = d.capacity() * (burstLoad - normalLoad)
		}
		at += rng.ExpFloat64() / (rate + crowd)
		if at >= traceSeconds {
			return
		}
		rec := d.record(at, rng)
		if rng.Float64()*(rate+crowd) < crowd {
			rec.Customer = d.header.Customers[0].ID
		}
		t.Records = append(t.Records, rec)
	}
}

func (d *deployment) record(at float64, rng *rand.Rand) Record {
	point, class := rng.Float64(), 0
	for class < len(d.mixes)-1 && point >= d.mixes[class].share {
		point -= d.mixes[class].share
		class++
	}
	m := d.mixes[class]
	spec := &d.header.Classes[class]
	return Record{
		At:       Millis(math.Round(at*1e4) / 10),
		Region:   d.header.Regions[rng.IntN(len(d.header.Regions))],
		Customer: d.customer(rng),
		Class:    spec.ID,
		Prompt:   length(m.prompt, 0.5, 4000, rng),
		Answer:   length(m.answer, m.sigma, spec.MaxTokens, rng),
	}
}

// customer draws one of the customers; the first three are large.
func (d *deployment) customer(rng *rand.Rand) string {
	n := len(d.header.Customers)
	if rng.Float64() < 0.6 {
		return d.header.Customers[rng.IntN(3)].ID
	}
	return d.header.Customers[3+rng.IntN(n-3)].ID
}

// length draws from a log-normal distribution with the given mean.
func length(mean, sigma float64, limit int, rng *rand.Rand) int {
	mu := math.Log(mean) - sigma*sigma/2
	return min(max(int(math.Exp(mu+sigma*rng.NormFloat64())), 1), limit)
}

// capacity is the number of requests per second that the engines can serve
// with all slots busy.
func (d *deployment) capacity() float64 {
	prompt, answer := 0.0, 0.0
	for _, m := range d.mixes {
		prompt += m.share * m.prompt
		answer += m.share * m.answer
	}
	sum := 0.0
	for _, e := range d.header.Engines {
		slots := float64(e.Slots)
		step := float64(e.Step) + float64(e.StepPerRequest)*slots
		// An answer takes its share of the steps and the whole batch waits for
		// its prompt.
		sum += 1000 / (step*answer/slots + float64(e.Prefill)*prompt)
	}
	return sum
}

func (d *deployment) faults(scenario string) []Fault {
	e := d.header.Engines
	switch scenario {
	case "stragglers":
		return []Fault{
			{At: 10000, For: 25000, Kind: FaultStraggler, Engine: e[0].ID, Factor: 6},
			{At: 20000, For: 20000, Kind: FaultStraggler, Engine: e[4].ID, Factor: 4},
			{At: 25000, For: 8000, Kind: FaultCrash, Engine: e[7].ID},
			{At: 40000, For: 5000, Kind: FaultRefuse, Engine: e[2].ID},
		}
	case "stale":
		return []Fault{
			{At: 8000, For: 40000, Kind: FaultStale, Engine: e[1].ID},
			{At: 8000, For: 40000, Kind: FaultStale, Engine: e[5].ID},
			{At: 12000, For: 30000, Kind: FaultStraggler, Engine: e[5].ID, Factor: 3},
		}
	case "regioncut":
		return []Fault{{At: 20000, For: 15000, Kind: FaultRegionCut, Region: d.header.Regions[2]}}
	}
	return nil
}

// maravalBay follows the surf school's deployment: guests on the beach need an
// answer in seconds, a season summary can wait.
func maravalBay() deployment {
	h := Header{ZoneHop: 0.5, RegionHop: 5, ClientHop: 0.2, PricePerGB: 0.02}
	h.place([]string{"north-coast", "port-city", "east-coast"}, "lesson", 12, EngineSpec{
		Slots: 6, Step: 30, StepPerRequest: 1.5, Prefill: 0.15, ReportEvery: 1000, ReportLag: 300,
	})
	h.Tiers = standardTiers("guest", "instructor", "summary")
	h.Classes = []ClassSpec{
		{ID: "guest-question", Tier: "guest", FirstToken: 1000, BetweenTokens: 80, MaxWait: 5000, Patience: 15000, RemotePenalty: 20, MaxTokens: 400, Hedge: true},
		{ID: "lesson-plan", Tier: "instructor", FirstToken: 4000, BetweenTokens: 100, MaxWait: 30000, Patience: 60000, RemotePenalty: 50, MaxTokens: 800},
		{ID: "season-summary", Tier: "summary", FirstToken: 60000, BetweenTokens: 200, MaxWait: 300000, Patience: 600000, RemotePenalty: 200, MaxTokens: 1500},
	}
	h.customers("surf")
	return deployment{header: h, mixes: []mix{
		{share: 0.45, prompt: 250, answer: 60, sigma: 0.6},
		{share: 0.35, prompt: 400, answer: 150, sigma: 0.6},
		{share: 0.20, prompt: 700, answer: 250, sigma: 0.6},
	}}
}

// fryline follows the oil swap service: vendors at opening time outrank batch
// comparisons, and cross-region bytes cost more.
func fryline() deployment {
	h := Header{ZoneHop: 0.25, RegionHop: 5.5, ClientHop: 0.8, PricePerGB: 0.08}
	h.place([]string{"leinster", "munster", "connacht"}, "assistant", 10, EngineSpec{
		Slots: 6, Step: 28, StepPerRequest: 1.8, Prefill: 0.15, ReportEvery: 1000, ReportLag: 400,
	})
	h.Tiers = standardTiers("opening", "office", "batch")
	h.Classes = []ClassSpec{
		{ID: "opening-time", Tier: "opening", FirstToken: 800, BetweenTokens: 80, MaxWait: 5000, Patience: 15000, RemotePenalty: 50, MaxTokens: 400, Hedge: true},
		{ID: "swap-notice", Tier: "office", FirstToken: 3000, BetweenTokens: 100, MaxWait: 30000, Patience: 60000, RemotePenalty: 100, MaxTokens: 800},
		{ID: "supplier-terms", Tier: "office", FirstToken: 6000, BetweenTokens: 100, MaxWait: 60000, Patience: 90000, RemotePenalty: 100, MaxTokens: 800},
		{ID: "batch-comparison", Tier: "batch", FirstToken: 60000, BetweenTokens: 200, MaxWait: 300000, Patience: 600000, RemotePenalty: 500, MaxTokens: 1500},
	}
	h.customers("fry")
	return deployment{header: h, mixes: []mix{
		{share: 0.40, prompt: 250, answer: 50, sigma: 0.6},
		{share: 0.25, prompt: 400, answer: 120, sigma: 0.6},
		{share: 0.15, prompt: 900, answer: 150, sigma: 0.6},
		{share: 0.20, prompt: 700, answer: 250, sigma: 0.6},
	}}
}

const entryVMs = 8

// place spreads entry VMs and engines over the regions.
func (h *Header) place(regions []string, kind string, engines int, spec EngineSpec) {
	h.Regions = regions
	for i := range entryVMs {
		h.Daemons = append(h.Daemons, DaemonSpec{ID: "entry-" + strconv.Itoa(i), Region: regions[i%len(regions)]})
	}
	for i := range engines {
		spec.ID = kind + "-" + strconv.Itoa(i)
		spec.Region = regions[i%len(regions)]
		h.Engines = append(h.Engines, spec)
	}
}

func standardTiers(urgent, standard, batch string) []TierSpec {
	return []TierSpec{
		{ID: urgent, QueueTokens: 6000, Preempts: true},
		{ID: standard, MinShare: 0.15, QueueTokens: 8000},
		{ID: batch, MinShare: 0.1, QueueTokens: 40000},
	}
}

func (h *Header) customers(prefix string) {
	for i := range 10 {
		weight := 1.0
		if i < 3 {
			weight = 3
		}
		h.Customers = append(h.Customers, CustomerSpec{ID: prefix + "-" + strconv.Itoa(i), Weight: weight})
	}
}
