package adminhttp

import (
	"context"
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/auburndyke/auburndyke/internal/administration"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/policy"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// drain starts a drain. It starts at once and is recorded in the configuration
// afterwards, so that an upstream can leave while the platform is down.
func (s *server) drain(c echo.Context, who administration.Principal) error {
	return s.setDraining(c, who, true, s.drainThenRecord)
}

// undrain ends a drain. The record comes first: an upstream takes work again
// only when the configuration says so.
func (s *server) undrain(c echo.Context, who administration.Principal) error {
	return s.setDraining(c, who, false, s.recordThenServe)
}

// drainStep carries out a planned drain or undrain.
type drainStep func(ctx context.Context, c echo.Context, p *planned, upstream domain.UpstreamID) error

func (s *server) setDraining(c echo.Context, who administration.Principal, draining bool, run drainStep) error {
	r, err := readRequest(c, who)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), s.options.ControlTimeout)
	defer cancel()
	upstream := domain.UpstreamID(c.Param("id"))
	p, err := s.plan(ctx, r, func(base *policy.Document) (*policy.Document, error) {
		return base.SetDraining(upstream, draining)
	})
	if err != nil {
		return err
	}
	if r.dryRun {
		return c.JSON(http.StatusOK, p.answer())
	}
	if err := p.confirmed(); err != nil {
		return err
	}
	return run(ctx, c, p, upstream)
}

func (s *server) drainThenRecord(ctx context.Context, c echo.Context, p *planned, upstream domain.UpstreamID) error {
	state, err := s.control.Drain(ctx, upstream, true)
	if err != nil {
		return err
	}
	s.warn(p, upstream)
	answer, err := s.propose(ctx, c, p)
	if err != nil {
		failure := answerOf(err)
		failure.Drain = &state
		failure.Message = fmt.Sprintf("the drain has started but is not recorded (%s); repeat the same call with the same change id", failure.Code)
		return failure
	}
	answer.Drain = &state
	return c.JSON(http.StatusOK, answer)
}

func (s *server) recordThenServe(ctx context.Context, c echo.Context, p *planned, upstream domain.UpstreamID) error {
	answer, err := s.propose(ctx, c, p)
	if err != nil {
		return err
	}
	state, err := s.control.Drain(ctx, upstream, false)
	if err != nil {
		failure := answerOf(err)
		failure.Message = fmt.Sprintf("revision %d records the end of the drain, but the drain goes on: %s", answer.Revision, failure.Message)
		return failure
	}
	answer.Drain = &state
	return c.JSON(http.StatusOK, answer)
}

// followDrains starts and ends the drains of upstreams whose draining field an
// accepted change has set, for example a roll-forward to a revision before a
// drain. Otherwise the drain would go on although the configuration says that
// the upstream serves.
func (s *server) followDrains(ctx context.Context, p *planned) {
	for _, change := range p.Changes {
		if change.Kind != policy.ItemUpstream || change.Op != policy.ChangeChanged {
			continue
		}
		for _, f := range change.Fields {
			if f.Field != "draining" {
				continue
			}
			upstream := domain.UpstreamID(change.ID)
			if _, err := s.control.Drain(ctx, upstream, f.New == "true"); err != nil {
				s.options.Log.Event(telemetry.DrainWarning).Str("upstream", change.ID).
					Str("reason", "drain does not follow the configuration").Str("wanted", f.New).Err(err).Msg("")
			}
		}
	}
}

// warn records what a forced drain takes away.
func (s *server) warn(p *planned, upstream domain.UpstreamID) {
	for _, w := range p.Warnings {
		s.options.Log.Event(telemetry.DrainWarning).Str("upstream", string(upstream)).Str("principal", p.who.ID).
			Str("reason", string(w.Code)).Str("class", string(w.Class)).Str("model", string(w.Model)).
			Str("service", w.Service).Int("customers", w.Affected).Msg("")
	}
}
