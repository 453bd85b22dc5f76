package peerws

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	crand "crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"math/big"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/mesh"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// selfSigned returns a certificate for a daemon that trusts itself only.
func selfSigned(t *testing.T, name string) tls.Certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), crand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), DNSNames: []string{name},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore:   time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign, IsCA: true, BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(crand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	leaf, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: leaf}
}

// mutualTLS sets up certificates that all daemons trust, and checks that each
// daemon shows its own.
func mutualTLS(cfg *Config, own tls.Certificate, trusted *x509.CertPool) {
	cfg.ServerTLS = &tls.Config{Certificates: []tls.Certificate{own}, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: trusted}
	cfg.ClientTLS = &tls.Config{Certificates: []tls.Certificate{own}, RootCAs: trusted}
	cfg.VerifyPeer = func(state *tls.ConnectionState, hello *ports.Hello) error {
		return state.PeerCertificates[0].VerifyHostname(string(hello.Member.Daemon))
	}
}

// Guards against a runner that does not connect its node to the network: a
// change must spread over real connections with mutual TLS, and a daemon that
// shows another one's certificate must stay out.
func TestFleetOverLoopback(t *testing.T) {
	const size = 4
	trusted := x509.NewCertPool()
	var configs []Config
	var roster []ports.Member
	for _, id := range []domain.DaemonID{"a", "b", "c", "d"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		name := string(id)
		if id == "d" {
			name = "a"
		}
		own := selfSigned(t, name)
		trusted.AddCert(own.Leaf)
		cfg := Config{Self: ports.Member{Daemon: id, Incarnation: 1, Address: l.Addr().String()}, Listener: l}
		mutualTLS(&cfg, own, trusted)
		configs = append(configs, cfg)
		roster = append(roster, cfg.Self)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var have [size]atomic.Uint64
	var runners []*Runner
	for i, cfg := range configs {
		transport := New(cfg)
		node := mesh.NewNode(mesh.Config{Self: cfg.Self.Daemon, Rand: rand.New(rand.NewPCG(1, uint64(i)))})
		runner := NewRunner(node, transport, func(_ time.Time, action mesh.Action) {
			if change, ok := action.(mesh.DeliverChange); ok {
				have[i].Store(uint64(change.Change.Revision))
			}
		})
		go func() { _ = transport.Run(ctx) }()
		go func() { _ = runner.Run(ctx) }()
		assert.NilError(t, runner.Submit(ctx, mesh.RosterChanged{Members: roster}))
		runners = append(runners, runner)
	}
	change := ports.Change{Revision: 3, Digest: 3, Document: []byte("document")}
	assert.NilError(t, runners[0].Submit(ctx, mesh.LocalChange{Change: change}))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if have[1].Load() == 3 && have[2].Load() == 3 {
			return poll.Success()
		}
		return poll.Continue("waiting for the change")
	}, poll.WithTimeout(10*time.Second))
	// The change may reach both daemons by one connection, before the other one is open.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		open := 0
		if err := runners[0].Inspect(ctx, func(n *mesh.Node) { _, open = n.Neighbours() }); err != nil {
			return poll.Error(err)
		}
		switch {
		case open == 2:
			return poll.Success()
		case open > 2:
			return poll.Error(fmt.Errorf("%d connections are open: one with a foreign certificate", open))
		}
		return poll.Continue("%d of 2 connections are open", open)
	}, poll.WithTimeout(10*time.Second))
	assert.Equal(t, have[3].Load(), uint64(0), "a daemon with a foreign certificate received the change")
}
