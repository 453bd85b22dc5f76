package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

// Format is the version of the trace format.
const Format = 1

// Millis is a duration in milliseconds in trace files.
type Millis float64

// Duration converts m.
func (m Millis) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// Header is the first line of a trace: the deployment that the requests met.
type Header struct {
	Format int    `json:"format"`
	Name   string `json:"name"`
	Seed   uint64 `json:"seed"`
	// ZoneHop, RegionHop and ClientHop are one-way delays.
	ZoneHop    Millis         `json:"zone_hop_ms"`
	RegionHop  Millis         `json:"region_hop_ms"`
	ClientHop  Millis         `json:"client_hop_ms"`
	PricePerGB float64        `json:"price_per_gb"`
	Regions    []string       `json:"regions"`
	Daemons    []DaemonSpec   `json:"daemons"`
	Engines    []EngineSpec   `json:"engines"`
	Tiers      []TierSpec     `json:"tiers"`
	Classes    []ClassSpec    `json:"classes"`
	Customers  []CustomerSpec `json:"customers"`
}

// DaemonSpec is one entry VM.
type DaemonSpec struct {
	ID     string `json:"id"`
	Region string `json:"region"`
}

// EngineSpec is one engine with continuous batching. One step lasts Step plus
// StepPerRequest for each running request plus Prefill for each prompt token
// that joins, and gives each running request one token.
type EngineSpec struct {
	ID             string `json:"id"`
	Region         string `json:"region"`
	Slots          int    `json:"slots"`
	Step           Millis `json:"step_ms"`
	StepPerRequest Millis `json:"step_per_request_ms"`
	Prefill        Millis `json:"prefill_per_token_ms"`
	// ReportEvery and ReportLag say how often load reports are taken and how
	// old they are on arrival.
	ReportEvery Millis `json:"report_every_ms"`
	ReportLag   Millis `json:"report_lag_ms"`
}

// TierSpec is one service tier; the first is the most urgent.
type TierSpec struct {
	ID          string  `json:"id"`
	MinShare    float64 `json:"min_share"`
	QueueTokens int     `json:"queue_tokens"`
	Preempts    bool    `json:"preempts"`
}

// ClassSpec is one request class with its targets.
type ClassSpec struct {
	ID            string `json:"id"`
	Tier          string `json:"tier"`
	FirstToken    Millis `json:"first_token_ms"`
	BetweenTokens Millis `json:"between_tokens_ms"`
	MaxWait       Millis `json:"max_wait_ms"`
	// Patience is how long a caller waits for the first token.
	Patience      Millis `json:"patience_ms"`
	RemotePenalty Millis `json:"remote_penalty_ms"`
	MaxTokens     int    `json:"max_tokens"`
	Hedge         bool   `json:"hedge"`
}

// CustomerSpec is one customer.
type CustomerSpec struct {
	ID     string  `json:"id"`
	Weight float64 `json:"weight"`
}

// Record is one request of a trace.
type Record struct {
	At       Millis `json:"at_ms"`
	Region   string `json:"region"`
	Customer string `json:"customer"`
	Class    string `json:"class"`
	Prompt   int    `json:"prompt_tokens"`
	Answer   int    `json:"answer_tokens"`
}

// Trace is a header with its requests in order of time.
type Trace struct {
	Header  Header
	Records []Record
}

// FaultKind names a fault.
type FaultKind string

const (
	// FaultStraggler multiplies an engine's step time by Factor.
	FaultStraggler FaultKind = "straggler"
	// FaultCrash ends an engine with everything on it until For has passed.
	FaultCrash FaultKind = "crash"
	// FaultRefuse lets an engine refuse new requests.
	FaultRefuse FaultKind = "refuse"
	// FaultStale freezes an engine's load reports.
	FaultStale FaultKind = "stale_report"
	// FaultRegionCut drops everything between a region and the others.
	FaultRegionCut FaultKind = "region_cut"
)

// Fault is one line of a fault file.
type Fault struct {
	At     Millis    `json:"at_ms"`
	For    Millis    `json:"for_ms"`
	Kind   FaultKind `json:"kind"`
	Engine string    `json:"engine,omitempty"`
	Region string    `json:"region,omitempty"`
	Factor float64   `json:"factor,omitempty"`
}

// ReadTrace reads a trace.
func ReadTrace(r io.Reader) (*Trace, error) {
	t := &Trace{}
	err := readLines(r, func(n int, line []byte) error {
		if n == 1 {
			return strict(line, &t.Header)
		}
		var rec Record
		if err := strict(line, &rec); err != nil {
			return err
		}
		t.Records = append(t.Records, rec)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return t, t.check()
}

// ReadFaults reads a fault file.
func ReadFaults(r io.Reader) ([]Fault, error) {
	var faults []Fault
	err := readLines(r, func(_ int, line []byte) error {
		var f Fault
		err := strict(line, &f)
		faults = append(faults, f)
		return err
	})
	return faults, err
}

// Write writes the trace.
func (t *Trace) Write(w io.Writer) error {
	enc := json.NewEncoder(w)
	if err := enc.Encode(&t.Header); err != nil {
		return eris.Wrap(err, "write trace header")
	}
	for i := range t.Records {
		if err := enc.Encode(&t.Records[i]); err != nil {
			return eris.Wrapf(err, "write trace record %d", i)
		}
	}
	return nil
}

// WriteFaults writes a fault file.
func WriteFaults(w io.Writer, faults []Fault) error {
	enc := json.NewEncoder(w)
	for i := range faults {
		if err := enc.Encode(&faults[i]); err != nil {
			return eris.Wrapf(err, "write fault %d", i)
		}
	}
	return nil
}

const maxLine = 1 << 20

func readLines(r io.Reader, use func(n int, line []byte) error) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	n := 0
	for s.Scan() {
		n++
		if len(s.Bytes()) == 0 {
			continue
		}
		if err := use(n, s.Bytes()); err != nil {
			return eris.Wrapf(err, "line %d", n)
		}
	}
	return eris.Wrap(s.Err(), "read")
}

func strict(line []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(line))
	d.DisallowUnknownFields()
	return d.Decode(v)
}

// check reports names that the header does not define and requests out of
// order.
func (t *Trace) check() error {
	h := &t.Header
	if h.Format != Format {
		return eris.Errorf("trace format %d is not supported, want %d", h.Format, Format)
	}
	if len(h.Engines) == 0 || len(h.Daemons) == 0 || len(h.Tiers) == 0 {
		return eris.New("trace header lists no engines, daemons or tiers")
	}
	classes := map[string]bool{}
	for _, c := range h.Classes {
		classes[c.ID] = true
	}
	customers := map[string]bool{}
	for _, c := range h.Customers {
		customers[c.ID] = true
	}
	served := map[string]bool{}
	for _, d := range h.Daemons {
		served[d.Region] = true
	}
	for i := range t.Records {
		r := &t.Records[i]
		switch {
		case !classes[r.Class]:
			return eris.Errorf("line %d: class %q is not in the header", i+2, r.Class)
		case !customers[r.Customer]:
			return eris.Errorf("line %d: customer %q is not in the header", i+2, r.Customer)
		case !served[r.Region]:
			return eris.Errorf("line %d: no daemon in region %q", i+2, r.Region)
		case i > 0 && r.At < t.Records[i-1].At:
			return eris.Errorf("line %d: request is earlier than the one before", i+2)
		case r.Answer < 1 || r.Prompt < 1:
			return eris.Errorf("line %d: token counts must be positive", i+2)
		}
	}
	return nil
}
