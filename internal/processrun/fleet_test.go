package processrun

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/examples"
	"github.com/auburndyke/auburndyke/internal/adapters/platformclient"
	"github.com/auburndyke/auburndyke/internal/administration"
	"github.com/auburndyke/auburndyke/internal/configlog"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/policy"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/standin/process"
)

const (
	operatorToken = "drill-operator-token"
	exampleDir    = "../../examples/maraval-bay"
	readyTime     = 20 * time.Second

	firstPort = 10000
	portCount = 9000
)

// size is what a run consists of.
type size struct {
	daemons, engines, services, workers int
	load                                time.Duration
	speed                               int
}

// fleet is the running processes.
type fleet struct {
	t        *testing.T
	size     size
	dir      string
	binary   string
	ports    map[string]string // address in the examples -> free address
	free     *process.Ports
	platform *process.Process
	access   *platformclient.Client
	document *policy.Document

	mu        sync.Mutex
	upstreams map[domain.UpstreamID]*upstream
	daemons   []*member
}

// upstream is one stand-in of an engine or a service.
type upstream struct {
	policy.Upstream
	process *process.Process
	// ledgers were read before each end of its process.
	ledgers  []ledger
	returned bool // its process was stopped for good
}

// member is one daemon.
type member struct {
	id                    string
	index                 int
	caller, admin, region string
	process               *process.Process
}

func startFleet(t *testing.T, s size) *fleet {
	f := &fleet{
		t: t, size: s, dir: t.TempDir(), ports: make(map[string]string), free: process.NewPorts(firstPort, portCount),
		upstreams: make(map[domain.UpstreamID]*upstream),
	}
	f.binary = build(t, f.dir)
	f.startPlatform()
	f.document = f.configuration()
	for i := range f.document.Upstreams {
		f.startUpstream(&f.document.Upstreams[i])
	}
	_, err := f.propose(t.Context(), 0, f.document.Encode())
	assert.NilError(t, err)
	f.writeSettings()
	for i := range s.daemons {
		f.daemons = append(f.daemons, f.describe(i))
		f.startDaemon(f.daemons[i])
	}
	for _, m := range f.daemons {
		assert.NilError(t, f.waitReady(m))
	}
	return f
}

// address maps an address of the examples to a free one.
func (f *fleet) address(example string) string {
	if f.ports[example] == "" {
		port, err := f.free.Free()
		assert.NilError(f.t, err)
		f.ports[example] = fmt.Sprintf("127.0.0.1:%d", port)
	}
	return f.ports[example]
}

func (f *fleet) log(name string) string { return filepath.Join(f.dir, name+".log") }

// keepLogs shows race reports and panics of the processes.
func (f *fleet) keepLogs() {
	files, _ := filepath.Glob(f.log("*"))
	for _, file := range files {
		data, err := os.ReadFile(file)
		assert.NilError(f.t, err)
		for _, mark := range []string{"WARNING: DATA RACE", "panic:"} {
			if at := strings.Index(string(data), mark); at >= 0 {
				f.t.Logf("%s: %s", filepath.Base(file), data[at:min(at+4000, len(data))])
			}
		}
	}
}

func (f *fleet) startPlatform() {
	address := f.address("127.0.0.1:20900")
	credential := strings.TrimSpace(f.read("platform.credential"))
	f.platform = launch(f.t, f.binary, f.log("platform"), "standin", "platform", "--address", address, "--credential", credential)
	var err error
	f.access, err = platformclient.New("http://"+address, platformclient.Options{
		Name: "operator", Token: func() (string, error) { return credential, nil },
	})
	assert.NilError(f.t, err)
	f.t.Cleanup(f.access.Close)
	f.waitFor("platform", func() bool { _, err := f.access.Get(f.t.Context(), "config/head"); return err == nil })
}

func (f *fleet) read(name string) string {
	data, err := os.ReadFile(filepath.Join(exampleDir, name))
	assert.NilError(f.t, err)
	return string(data)
}

// configuration is the example with as many upstreams as the run has. Further
// engines are copies of the example's.
func (f *fleet) configuration() *policy.Document {
	document, err := examples.Load("maraval-bay")
	assert.NilError(f.t, err)
	var engines, services []policy.Upstream
	for _, u := range document.Upstreams {
		if u.Kind == domain.KindService {
			services = append(services, u)
		} else {
			engines = append(engines, u)
		}
	}
	document.Upstreams = nil
	add := func(from []policy.Upstream, n int) {
		for i := range n {
			u := from[i%len(from)]
			if i >= len(from) {
				u.ID = domain.UpstreamID(fmt.Sprintf("%s-%d", u.ID, i/len(from)+1))
			}
			u.Address = f.address(string(u.ID))
			document.Upstreams = append(document.Upstreams, u)
		}
	}
	add(engines, f.size.engines)
	add(services, f.size.services)
	return document.PutAdminToken(policy.AdminToken{ID: "drill", Hash: policy.HashKey(operatorToken), Role: policy.RoleOperator})
}

func (f *fleet) startUpstream(u *policy.Upstream) {
	args := []string{"standin", "service", "--id", string(u.ID), "--address", u.Address, "--latency", "20ms"}
	if u.Kind == domain.KindEngine {
		args = []string{
			"standin", "engine", "--id", string(u.ID), "--address", u.Address, "--models", "lesson",
			"--adapters", "guest,plan,summary", "--slots", strconv.Itoa(u.Slots), "--speed", strconv.Itoa(f.size.speed),
			"--checks-fencing=" + strconv.FormatBool(u.ChecksFencing),
		}
	}
	p := launch(f.t, f.binary, f.log(string(u.ID)), args...)
	f.mu.Lock()
	defer f.mu.Unlock()
	if known := f.upstreams[u.ID]; known != nil {
		known.process = p
		return
	}
	f.upstreams[u.ID] = &upstream{Upstream: *u, process: p}
}

var loopbackAddress = regexp.MustCompile(`127\.0\.0\.1:2\d{4}`)

// writeSettings copies the example's settings with free ports, and mutual TLS
// between the daemons.
func (f *fleet) writeSettings() {
	ca := newAuthority(f.t, f.dir)
	replaced := func(name string) string { return loopbackAddress.ReplaceAllStringFunc(f.read(name), f.address) }
	f.write("settings.toml", replaced("settings.toml"))
	f.write("platform.credential", f.read("platform.credential"))
	for i := range f.size.daemons {
		id := fmt.Sprintf("entry-%d", i+1)
		f.write(id+".toml", replaced("daemons/"+id+".toml")+ca.issue(f.t, id))
	}
}

func (f *fleet) write(name, text string) {
	assert.NilError(f.t, os.WriteFile(filepath.Join(f.dir, name), []byte(text), 0o600))
}

func (f *fleet) describe(i int) *member {
	text := f.read(fmt.Sprintf("daemons/entry-%d.toml", i+1))
	addresses := loopbackAddress.FindAllString(text, -1)
	region := regexp.MustCompile(`region = "(.*)"`).FindStringSubmatch(text)
	return &member{
		id: fmt.Sprintf("entry-%d", i+1), index: i, region: region[1],
		caller: "http://" + f.address(addresses[0]), admin: "http://" + f.address(addresses[1]),
	}
}

func (f *fleet) startDaemon(m *member) {
	p := launch(f.t, f.binary, f.log(m.id), "serve",
		"--settings", filepath.Join(f.dir, "settings.toml"), "--settings", filepath.Join(f.dir, m.id+".toml"))
	f.mu.Lock()
	defer f.mu.Unlock()
	m.process = p
}

var quickClient = &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

func fetch(url string) (int, string) {
	response, err := quickClient.Get(url)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(data)
}

func (f *fleet) waitReady(m *member) error {
	var last string
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		status, body := fetch(m.caller + "/readyz")
		if status == http.StatusOK {
			return nil
		}
		last = body
	}
	log, _ := os.ReadFile(f.log(m.id))
	return fmt.Errorf("%s is not ready after %v: %s; its log ends with %s", m.id, readyTime, last, log[max(len(log)-500, 0):])
}

func (f *fleet) waitFor(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(readyTime); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("%s: not within %v", what, readyTime)
		}
	}
}

// propose brings a configuration into the log through the table service.
func (f *fleet) propose(ctx context.Context, base domain.Revision, content []byte) (configlog.Result, error) {
	proposer := configlog.NewProposer(f.access, administration.Merger{}, func() *rand.Rand { return rand.New(rand.NewPCG(1, rand.Uint64())) })
	return proposer.Propose(ctx, configlog.Change{
		ID: uuid.NewString(), Author: "drill", Message: "drill", Base: base, Content: content,
	})
}

// head reads the newest revision.
func (f *fleet) head(ctx context.Context) (configlog.Document, error) {
	rows, err := f.access.Get(ctx, "config/head")
	if err != nil || len(rows) == 0 {
		return configlog.Document{}, fmt.Errorf("%w: no head", ports.ErrUnavailable)
	}
	var head struct {
		Revision domain.Revision `json:"revision"`
	}
	if err := json.Unmarshal(rows[0].Value, &head); err != nil {
		return configlog.Document{}, err
	}
	return configlog.ReadRevision(ctx, f.access, head.Revision)
}

// relabel changes one customer's label and returns the accepted revision.
func (f *fleet) relabel(ctx context.Context, value string) (domain.Revision, error) {
	base, err := f.head(ctx)
	if err != nil {
		return 0, err
	}
	document, list := policy.DecodeFiles(policy.Source{Name: "head", Data: base.Content})
	if list.HasErrors() {
		return 0, list
	}
	changed, err := document.SetLabel(policy.ItemCustomer, string(document.Customers[0].ID), "season", value)
	if err != nil {
		return 0, err
	}
	result, err := f.propose(ctx, base.Revision, changed.Encode())
	if err == nil && !result.Accepted() {
		err = fmt.Errorf("conflict: %v", result.Conflicts)
	}
	return result.Document.Revision, err
}
