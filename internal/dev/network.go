package dev

import (
	"context"
	"net"

	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/adapters/httpsend"
	"github.com/auburndyke/auburndyke/internal/domain"
)

// Names of hosts that are neither upstreams nor daemons.
const (
	PlatformHost = "platform"
	OperatorHost = "operator"
)

const freePort = "127.0.0.1:0"

// Network connects the hosts of a Fleet. Upstreams and daemons are hosts named
// by their ids.
type Network interface {
	// Listen opens a listener of a host. The platform has no region. The
	// address is a wish that holds on loopback only.
	Listen(host string, region domain.Region, address string) (net.Listener, error)
	// Dial returns the function with which a host opens connections.
	Dial(host string) httpsend.DialFunc
}

type loopback struct{}

func (loopback) Listen(_ string, _ domain.Region, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, eris.Wrapf(err, "listening on %s", address)
}

func (loopback) Dial(string) httpsend.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
}
