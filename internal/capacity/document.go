package capacity

import (
	"fmt"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/policy"
	"github.com/auburndyke/auburndyke/internal/ports"
)

const (
	classCount    = 20
	ruleCount     = 300
	customerGroup = 50
	poolCount     = 40
	slotsPerUp    = 32
)

func regionOf(zone int) domain.Region { return domain.Region(fmt.Sprintf("region-%d", zone%3)) }

func zoneOf(zone int) domain.AvailabilityZone {
	return domain.AvailabilityZone(fmt.Sprintf("zone-%d", zone))
}

// document returns a configuration of a size: 20 classes, and rules that
// select groups of customers, classes and pools of upstreams. The first rule
// of each class lets every customer reach every upstream of the class.
func document(s Size) (*policy.Document, error) {
	d := &policy.Document{}
	d.SetDefaults()
	d.Levels = []policy.ServiceLevel{{Name: "standard", FirstToken: 770e6, BetweenTokens: 58e6, Attainment: 0.95}}
	for i := range s.Models {
		d.Models = append(d.Models, policy.Model{ID: modelID(i)})
	}
	for i := range s.Regions {
		r := policy.Region{ID: regionOf(i), RTT: map[domain.Region]time.Duration{}}
		for j := range s.Regions {
			if j != i {
				r.RTT[regionOf(j)] = 2 * regionDelay
			}
		}
		for z := i; z < s.Zones; z += s.Regions {
			r.Zones = append(r.Zones, zoneOf(z))
		}
		d.Regions = append(d.Regions, r)
	}
	for i := range s.Tiers {
		d.Tiers = append(d.Tiers, policy.Tier{ID: domain.TierID(fmt.Sprintf("tier-%d", i)), Rank: i, MinShare: 0.02, QueueTokens: 1 << 20})
	}
	for i := range classCount {
		d.Classes = append(d.Classes, policy.Class{ID: classID(i), Repeatable: true, ClaimOutage: policy.ClaimOutageRefuse})
	}
	for i := range s.Customers {
		d.Customers = append(d.Customers, policy.Customer{
			ID: customerID(i), Weight: 1, DefaultClass: classID(i % classCount),
			Labels:  map[string]string{"group": fmt.Sprint(i % customerGroup), "size": fmt.Sprint(i % 3)},
			Limits:  policy.Limits{RequestsPerSecond: 1e6, TokensPerMinute: 1e9},
			APIKeys: []policy.KeyHash{policy.HashKey(apiKey(i))},
		})
	}
	for i := range s.Upstreams {
		zone := i % s.Zones
		d.Upstreams = append(d.Upstreams, policy.Upstream{
			ID: upstreamID(i), Kind: domain.KindEngine, Role: domain.RoleBoth,
			Address: fmt.Sprintf("10.%d.%d.%d:8000", 1+zone, i/250, i%250), Region: regionOf(zone), Zone: zoneOf(zone),
			Slots: slotsPerUp, Labels: map[string]string{"pool": fmt.Sprint(i % poolCount), "size": fmt.Sprint(i % 2)},
			Models: []domain.ModelID{modelID(i % s.Models)},
		})
	}
	return d, addRules(d, s)
}

func addRules(d *policy.Document, s Size) error {
	for i := range ruleCount {
		rule := policy.Rule{
			Name: fmt.Sprintf("rule-%03d", i), Precedence: i / customerGroup, Level: "standard",
			Tier: d.Tiers[i/customerGroup%s.Tiers].ID,
		}
		customers, classes := "", fmt.Sprintf("id=%s", classID(i))
		upstreams := ""
		if i >= classCount {
			customers = fmt.Sprintf("group=%d", i%customerGroup)
			classes = fmt.Sprintf("id in (%s,%s,%s)", classID(i%classCount), classID((i+7)%classCount), classID((i/customerGroup+3)%classCount))
			upstreams = fmt.Sprintf("pool in (%d,%d)", i%poolCount, (i+1)%poolCount)
		}
		var err error
		for _, part := range []struct {
			to   *policy.Selector
			text string
		}{{&rule.Customers, customers}, {&rule.Classes, classes}, {&rule.Upstreams, upstreams}} {
			if *part.to, err = policy.ParseSelector(part.text); err != nil {
				return err
			}
		}
		d.Rules = append(d.Rules, rule)
	}
	return nil
}

func modelID(i int) domain.ModelID       { return domain.ModelID(fmt.Sprintf("model-%d", i)) }
func classID(i int) domain.ClassID       { return domain.ClassID(fmt.Sprintf("class-%02d", i)) }
func customerID(i int) domain.CustomerID { return domain.CustomerID(fmt.Sprintf("customer-%04d", i)) }

func upstreamID(i int) domain.UpstreamID { return domain.UpstreamID(fmt.Sprintf("upstream-%04d", i)) }
func daemonID(i int) domain.DaemonID     { return domain.DaemonID(fmt.Sprintf("daemon-%03d", i)) }
func apiKey(i int) string                { return fmt.Sprintf("key-of-customer-%04d", i) }

// wideDocument returns a configuration in which every customer and class
// reaches every one of n upstreams of one region, which serve the models in
// turn.
func wideDocument(n, models int) (*policy.Document, error) {
	s := Planned()
	s.Upstreams, s.Models, s.Customers = n, models, 10
	d, err := document(s)
	if err != nil {
		return nil, err
	}
	d.Rules = d.Rules[:classCount]
	for i := range d.Upstreams {
		d.Upstreams[i].Region, d.Upstreams[i].Zone = regionOf(0), zoneOf(0)
	}
	return d, nil
}

// roster returns the members of a fleet, spread over 3 regions and 7 zones.
func roster(n int) []ports.Member {
	out := make([]ports.Member, n)
	for i := range out {
		zone := i % 7
		out[i] = ports.Member{
			Daemon: daemonID(i), Incarnation: 1, Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
			Region: regionOf(zone), Zone: zoneOf(zone),
		}
	}
	return out
}
