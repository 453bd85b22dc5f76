package dev

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/standin/engine"
	"github.com/auburndyke/auburndyke/internal/standin/service"
)

// Guards against a planned stop that closes the connections of requests which have no
// answer at its bound: generations at silent engines and calls to a silent service,
// with and without an idempotency key.
func TestStopAnswersRequestsThatWait(t *testing.T) {
	fleet := startFleet(t, Options{Daemons: 2, Edit: wideOpen, ShutdownBound: 2 * time.Second})
	for _, e := range fleet.Engines {
		e.SetFaults(engine.Faults{StopAnswering: true})
	}
	for _, s := range fleet.Services {
		s.SetFaults(service.Faults{StopAnswering: true})
	}
	stopping := fleet.Members[0]
	var work sync.WaitGroup
	check := func(what string, got answer, err error) {
		if err != nil || got.status != http.StatusBadGateway && got.status != http.StatusServiceUnavailable && got.status != http.StatusGatewayTimeout {
			t.Errorf("%s: %v, %+v", what, err, got)
		}
		if got.status == http.StatusServiceUnavailable && got.outcome != string(domain.OutcomeNotRun) {
			t.Errorf("%s: refused, but may have run: %+v", what, got)
		}
	}
	const generations, calls = 8, 4
	for i := range generations {
		work.Go(func() {
			got, err := stream(t.Context(), stopping.URL, testKey, "guest-question", generationBody(fmt.Sprintf("caller %d", i), 60))
			check("generation", got, err)
		})
	}
	for i := range calls {
		work.Go(func() {
			got, err := book(t.Context(), stopping.URL, fmt.Sprintf("booking-%d", i))
			check("booking", got, err)
		})
	}
	waitFor(t, 5*time.Second, "requests in progress", func() bool { return stopping.Gateway().InProgress() == generations+calls })
	assert.NilError(t, stopping.Stop())
	work.Wait()
}

// Guards against a planned stop that closes the connection of a request whose header it
// is still reading.
func TestStopAnswersRequestThatIsArriving(t *testing.T) {
	fleet := startFleet(t, Options{Daemons: 2, Edit: wideOpen, ShutdownBound: 10 * time.Second})
	stopping := fleet.Members[0]
	address := strings.TrimPrefix(stopping.URL, "http://")
	body := generationBody("caller", 60)
	request, err := http.NewRequest(http.MethodPost, stopping.URL+"/v1/completions", bytes.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set("Auburndyke-Class", "guest-question")
	var header bytes.Buffer
	assert.NilError(t, request.Write(&header))
	caller, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = caller.Close() }()
	first, rest := header.Bytes()[:20], header.Bytes()[20:] // within the first line
	_, err = caller.Write(first)
	assert.NilError(t, err)
	// The daemon has accepted the caller's connection once it answers a later one.
	probe, err := http.Get(stopping.URL + "/healthz")
	assert.NilError(t, err)
	_ = probe.Body.Close()
	stopping.BeginStop()
	waitFor(t, 5*time.Second, "the listener is closed", func() bool {
		c, err := net.Dial("tcp", address)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	_, err = caller.Write(rest)
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(caller), request)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header.Get("Auburndyke-Outcome"), string(domain.OutcomeNotRun))
	assert.Equal(t, response.Close, true)
	assert.NilError(t, stopping.Stop())
}
