package placement

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

const keyPrefix = "placement/"

// Artefact is a model or an adapter in one version. The version is part of
// the name, as engines report it.
type Artefact struct {
	Name    string
	Adapter bool
	// Model names the model that an adapter needs beside it.
	Model string
}

// Upstream is one engine of the region, as configured.
type Upstream struct {
	ID domain.UpstreamID
	// Base is the content that it holds when demand asks for nothing else.
	// What Base names is never unloaded.
	Base Content
	// Allowed names the artefacts that it may hold besides Base.
	Allowed []string
	// MaxModels and MaxAdapters bound what it holds at once. Zero means no
	// bound.
	MaxModels     int
	MaxAdapters   int
	ChecksFencing bool
	Draining      bool
}

// Demand is the traffic of one class for one artefact.
type Demand struct {
	Class    domain.ClassID
	Artefact Artefact
	// Upstreams are those that the class may reach.
	Upstreams []domain.UpstreamID
	// Waiting is the estimated tokens in queues.
	Waiting float64
	// Running is the number of requests in progress.
	Running int
}

// Content is what an engine holds, or is meant to hold. Names are sorted and
// distinct.
type Content struct {
	Models   []string    `json:"models"`
	Adapters []string    `json:"adapters"`
	Role     domain.Role `json:"role"`
}

func (c Content) normal() Content {
	return Content{Models: sortedSet(c.Models), Adapters: sortedSet(c.Adapters), Role: c.Role}
}

func sortedSet(names []string) []string {
	out := slices.Clone(names)
	slices.Sort(out)
	return slices.Compact(out)
}

func (c Content) equal(o Content) bool {
	return c.Role == o.Role && slices.Equal(c.Models, o.Models) && slices.Equal(c.Adapters, o.Adapters)
}

func (c Content) has(a Artefact) bool { return slices.Contains(c.names(a.Adapter), a.Name) }

func (c Content) names(adapters bool) []string {
	if adapters {
		return c.Adapters
	}
	return c.Models
}

// with returns the content with an artefact added.
func (c Content) with(a Artefact) Content {
	if a.Adapter {
		c.Adapters = append(slices.Clone(c.Adapters), a.Name)
	} else {
		c.Models = append(slices.Clone(c.Models), a.Name)
	}
	return c.normal()
}

// without returns the content with an artefact removed.
func (c Content) without(name string, adapter bool) Content {
	keep := func(n string) bool { return n == name }
	c = c.normal()
	if adapter {
		c.Adapters = slices.DeleteFunc(c.Adapters, keep)
	} else {
		c.Models = slices.DeleteFunc(c.Models, keep)
	}
	return c
}

// Record is the value of a row placement/<region>/<upstream>. It is written
// before the order is sent, so that a later director continues from it.
type Record struct {
	Upstream domain.UpstreamID   `json:"upstream"`
	Desired  Content             `json:"desired"`
	Fencing  domain.FencingToken `json:"fencing"`
	// Loaded says since when each artefact is desired.
	Loaded map[string]time.Time `json:"loaded,omitempty"`
}

// orderID identifies the content that a director orders. Repeating the order
// repeats the id.
func orderID(id domain.UpstreamID, token domain.FencingToken, c Content) string {
	data, err := json.Marshal(struct {
		Upstream domain.UpstreamID
		Token    domain.FencingToken
		Content  Content
	}{id, token, c})
	if err != nil {
		// The fields hold only strings and numbers.
		panic(err)
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:12])
}

// Kind says what a decision does.
type Kind string

const (
	KindLoad   Kind = "load"
	KindUnload Kind = "unload"
	KindRole   Kind = "role"
	// KindBase brings an engine to its configured content.
	KindBase Kind = "base"
	// KindRepair repeats an order because the engine reports other content.
	KindRepair Kind = "repair"
	// KindKeep takes back an unload that was not carried out yet.
	KindKeep Kind = "keep"
	// KindDefer leaves a wanted load for later.
	KindDefer Kind = "defer"
)

// Reason says why a decision was taken.
type Reason string

const (
	ReasonDemand        Reason = "demand is waiting and no replica has room"
	ReasonIdle          Reason = "no demand for the idle time"
	ReasonReplaced      Reason = "room is needed for an artefact in higher demand"
	ReasonConfigured    Reason = "configuration asks for it"
	ReasonOrderFailed   Reason = "the last order was not accepted"
	ReasonReportDiffers Reason = "load report differs from the order"
	ReasonTraffic       Reason = "a class with traffic would lose its last replica"
	ReasonForeignOrder  Reason = "load report names an order of another director"
	ReasonStoreBusy     Reason = "weight store has no capacity left"
	ReasonNoUpstream    Reason = "no upstream has room that demand does not use"
)

// Decision is one placement decision, for the log.
type Decision struct {
	Kind     Kind
	Upstream domain.UpstreamID
	Artefact string
	Reason   Reason
	// Waiting is the demand that the decision weighed, in tokens.
	Waiting float64
}

func rowKey(region domain.Region, id domain.UpstreamID) string {
	return regionPrefix(region) + string(id)
}

func regionPrefix(region domain.Region) string { return keyPrefix + string(region) + "/" }

func encode(r Record) []byte {
	data, err := json.Marshal(r)
	if err != nil {
		// A Record holds only strings, numbers and times.
		panic(err)
	}
	return data
}

func decode(row ports.Row) (Record, error) {
	var r Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return r, eris.Wrapf(err, "row %s cannot be decoded", row.Key)
	}
	return r, nil
}

func byID(a, b *engine) int { return cmp.Compare(a.spec.ID, b.spec.ID) }
