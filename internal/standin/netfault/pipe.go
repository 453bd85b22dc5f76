package netfault

import (
	"context"
	"net"
	"sync"
)

// Pipe is an in-memory listener. Dial connects to it.
type Pipe struct {
	accept chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// NewPipe returns an open in-memory listener.
func NewPipe() *Pipe {
	return &Pipe{accept: make(chan net.Conn), closed: make(chan struct{})}
}

// Dial opens a connection to the listener. Its signature fits
// http.Transport.DialContext; network and address are ignored.
func (p *Pipe) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case p.accept <- server:
		return client, nil
	case <-p.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept waits for the next connection.
func (p *Pipe) Accept() (net.Conn, error) {
	select {
	case c := <-p.accept:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// Close stops the listener. Open connections stay open.
func (p *Pipe) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

// Addr returns a placeholder address.
func (p *Pipe) Addr() net.Addr {
	return pipeAddr{}
}

type pipeAddr struct{}

func (pipeAddr) Network() string { return "pipe" }
func (pipeAddr) String() string  { return "pipe" }
