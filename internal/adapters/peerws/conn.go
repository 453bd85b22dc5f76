package peerws

import (
	"context"
	"fmt"

	"github.com/coder/websocket"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

const (
	headerBytes = 2
	maskBytes   = 4
	shortFrame  = 125
	mediumFrame = 1<<16 - 1
)

// conn is one WebSocket connection to a peer.
type conn struct {
	t      *Transport
	ws     *websocket.Conn
	dialed bool
	peer   domain.DaemonID
	queue  chan ports.Frame
	ctx    context.Context
	cancel context.CancelCauseFunc
	ended  chan struct{}
}

func newConn(t *Transport, ws *websocket.Conn, dialed bool) *conn {
	ctx, cancel := context.WithCancelCause(t.ctx)
	ws.SetReadLimit(MaxFrameBytes)
	return &conn{
		t: t, ws: ws, dialed: dialed, ctx: ctx, cancel: cancel,
		queue: make(chan ports.Frame, t.cfg.SendQueue),
		ended: make(chan struct{}),
	}
}

// close ends the connection without waiting for the peer, which may be silent.
func (c *conn) close(cause error) { c.cancel(cause) }

func (c *conn) handshake(hello *ports.Frame) (*ports.Hello, error) {
	if err := c.writeFrame(hello); err != nil {
		return nil, err
	}
	return c.readHello()
}

func (c *conn) readHello() (*ports.Hello, error) {
	ctx, cancel := context.WithTimeout(c.ctx, handshakeTimeout)
	defer cancel()
	frame, err := c.readFrame(ctx)
	if err != nil {
		return nil, err
	}
	if frame.Hello == nil {
		return nil, fmt.Errorf("%w: first frame is not a hello", ErrProtocol)
	}
	return frame.Hello, nil
}

// serve reads until the connection ends and returns the reason.
func (c *conn) serve() error {
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeLoop()
	}()
	err := c.readLoop()
	c.cancel(err)
	_ = c.ws.CloseNow()
	<-written
	return context.Cause(c.ctx)
}

func (c *conn) readLoop() error {
	for {
		frame, err := c.readFrame(c.ctx)
		if err != nil {
			return err
		}
		if frame.Hello != nil {
			return fmt.Errorf("%w: repeated hello", ErrProtocol)
		}
		select {
		case <-c.ctx.Done():
			return context.Cause(c.ctx)
		default:
		}
		c.t.report(ports.PeerEvent{Peer: c.peer, Frame: &frame})
	}
}

func (c *conn) writeLoop() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case frame := <-c.queue:
			if err := c.writeFrame(&frame); err != nil {
				c.cancel(err)
				return
			}
		}
	}
}

func (c *conn) readFrame(ctx context.Context) (ports.Frame, error) {
	kind, data, err := c.ws.Read(ctx)
	if err != nil {
		return ports.Frame{}, err
	}
	if kind != websocket.MessageBinary {
		return ports.Frame{}, fmt.Errorf("%w: text message", ErrProtocol)
	}
	c.t.bytesReceived.Add(wireBytes(len(data), !c.dialed))
	c.t.framesReceived.Add(1)
	return Decode(data)
}

func (c *conn) writeFrame(frame *ports.Frame) error {
	data, err := Encode(frame)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.ctx, writeTimeout)
	defer cancel()
	if err := c.ws.Write(ctx, websocket.MessageBinary, data); err != nil {
		return err
	}
	c.t.bytesSent.Add(wireBytes(len(data), c.dialed))
	c.t.framesSent.Add(1)
	return nil
}

// wireBytes adds the WebSocket header. Frames of the dialling side are masked.
func wireBytes(payload int, masked bool) uint64 {
	n := payload + headerBytes
	switch {
	case payload > mediumFrame:
		n += 8
	case payload > shortFrame:
		n += 2
	}
	if masked {
		n += maskBytes
	}
	return uint64(n)
}
