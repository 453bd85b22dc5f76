package callerhttp

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
)

// drainPollInterval is how often Drain checks whether its requests have ended.
const drainPollInterval = 20 * time.Millisecond

// Server serves callers over HTTP.
type Server struct {
	*http.Server
	// closing makes every later response close its connection.
	closing  atomic.Bool
	listener atomic.Pointer[net.Listener]
	served   chan struct{}
	// pending is the set of connections that have a request or have not sent one yet.
	pending sync.Map
}

// Serve accepts connections from l until the server drains or closes. It is called once.
func (s *Server) Serve(l net.Listener) error {
	defer close(s.served)
	s.listener.Store(&l)
	return s.Server.Serve(l)
}

// DisableKeepAlives makes every later response close its connection.
func (s *Server) DisableKeepAlives() { s.closing.Store(true) }

// Drain closes the listener and waits until all requests have ended, including those that
// are still arriving. Without an error it then closes the server. http.Server.Shutdown
// alone drops requests whose header it reads meanwhile.
func (s *Server) Drain(ctx context.Context) error {
	s.DisableKeepAlives()
	if l := s.listener.Load(); l != nil {
		_ = (*l).Close()
		<-s.served // all accepted connections are in pending
	}
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.busy() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return s.Shutdown(ctx)
}

func (s *Server) busy() bool {
	for range s.pending.Range {
		return true
	}
	return false
}

// onConnState is the ConnState hook of the server.
func (s *Server) onConnState(conn net.Conn, state http.ConnState) {
	if state == http.StateNew || state == http.StateActive {
		s.pending.Store(conn, struct{}{})
	} else {
		s.pending.Delete(conn)
	}
}

// closeWhenDraining is a middleware that announces the end of the connection.
func (s *Server) closeWhenDraining(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if s.closing.Load() {
			c.Response().Header().Set(echo.HeaderConnection, "close")
		}
		return next(c)
	}
}
