package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/auburndyke/auburndyke/internal/adapters/engineclient"
	"github.com/auburndyke/auburndyke/internal/adapters/platformclient"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/standin/engine"
	"github.com/auburndyke/auburndyke/internal/standin/platform"
)

// meter counts the payload bytes of accepted connections in both directions.
type meter struct {
	net.Listener
	bytes atomic.Int64
	opens atomic.Int64
}

// Accept implements net.Listener.
func (m *meter) Accept() (net.Conn, error) {
	c, err := m.Listener.Accept()
	if err != nil {
		return nil, err
	}
	m.opens.Add(1)
	return &meteredConn{Conn: c, meter: m}, nil
}

type meteredConn struct {
	net.Conn
	meter *meter
}

func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.bytes.Add(int64(n))
	return n, err
}

func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.bytes.Add(int64(n))
	return n, err
}

func newMeter() (*meter, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	return &meter{Listener: l}, err
}

// callBytes returns the bytes of a call in both directions, with the headers
// of the two packets that carry it. The first call opens the connection and
// does not count.
func callBytes(m *meter, calls int, call func() error) (float64, error) {
	if err := call(); err != nil {
		return 0, err
	}
	before := m.bytes.Load()
	for range calls {
		if err := call(); err != nil {
			return 0, err
		}
	}
	return float64(m.bytes.Load()-before)/float64(calls) + 2*tcpBytes, nil
}

// measureWire measures the bytes of the calls that a daemon repeats.
func measureWire(ctx context.Context, r *recorder) error {
	m, err := newMeter()
	if err != nil {
		return err
	}
	e := engine.New(engine.Config{ID: upstreamID(0), Models: []string{string(modelID(0))}, Slots: slotsPerUp, PrefillPerToken: time.Microsecond})
	e.Start(m)
	defer func() { _ = e.Close() }()
	client, err := engineclient.New("http://"+m.Addr().String(), engineclient.Options{})
	if err != nil {
		return err
	}
	defer client.Close()
	const calls = 50
	var load float64
	used := readUsage()
	if load, err = callBytes(m, calls, func() error { _, err := client.Load(ctx); return err }); err != nil {
		return err
	}
	cost := readUsage().since(used)
	if err := measureCacheEvents(ctx, r, client, m); err != nil {
		return err
	}
	r.add("polling/report-bytes", 1, load)
	r.add("polling/report-cpu", 1, micros(cost.cpu)/calls)
	return measurePlatformWire(ctx, r)
}

// measureCacheEvents measures the answer's size against its events. Each
// request with a new prompt stores eight prefix blocks.
func measureCacheEvents(ctx context.Context, r *recorder, client *engineclient.Client, m *meter) error {
	events := 0
	for i := range 4 {
		for k := range 4 {
			prompt := fmt.Sprintf("%d/%d %s", i, k, strings.Repeat("x", 2048))
			body, err := json.Marshal(map[string]any{"model": modelID(0), "stream": true, "prompt": prompt, "max_tokens": 1})
			if err != nil {
				return err
			}
			stream, err := client.Generate(ctx, &ports.GenerateRequest{
				Attempt: domain.NewAttemptID(domain.RequestID(fmt.Sprintf("request-%d-%d", i, k)), 0), Endpoint: ports.EndpointCompletion, Model: modelID(0), Body: body,
			})
			if err != nil {
				return err
			}
			for err == nil {
				_, err = stream.Recv()
			}
			_ = stream.Close()
		}
		// The ends of the streams would count otherwise.
		time.Sleep(50 * time.Millisecond)
		bytes, err := callBytes(m, 10, func() error {
			list, err := client.CacheEvents(ctx, 0)
			events = len(list)
			return err
		})
		if err != nil {
			return err
		}
		r.add("polling/cache-bytes", float64(events), bytes)
	}
	return nil
}

func measurePlatformWire(ctx context.Context, r *recorder) error {
	m, err := newMeter()
	if err != nil {
		return err
	}
	p := platform.New(platform.Config{})
	p.Start(m)
	defer func() { _ = p.Close() }()
	client, err := platformclient.New("http://"+m.Addr().String(), platformclient.Options{Name: string(daemonID(0))})
	if err != nil {
		return err
	}
	defer client.Close()
	value := []byte(`{"revision":123456,"digest":"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"}`)
	version, err := client.Commit(ctx, ports.Write{Key: "config/head", Value: value})
	if err != nil {
		return err
	}
	const calls = 50
	used := readUsage()
	read, err := callBytes(m, calls, func() error { _, err := client.Get(ctx, "config/head"); return err })
	if err != nil {
		return err
	}
	r.add("polling/read-cpu", 1, micros(readUsage().since(used).cpu)/calls)
	write, err := callBytes(m, calls, func() error {
		version, err = client.Commit(ctx, ports.Write{Key: "config/head", Value: value, Expect: version})
		return err
	})
	r.add("polling/read-bytes", 1, read)
	r.add("polling/write-bytes", 1, write)
	return err
}
