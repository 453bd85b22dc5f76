package adminhttp

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/auburndyke/auburndyke/internal/administration"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/policy"
)

func (s *server) writeHistory(c echo.Context, last uint64, limit int) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), s.options.ControlTimeout)
	defer cancel()
	records, err := s.control.History(ctx, domain.Revision(last), limit)
	if err != nil {
		return err
	}
	answer := administration.HistoryResponse{Entries: make([]administration.HistoryEntry, len(records))}
	for i, r := range records {
		answer.Entries[i] = administration.HistoryEntry{
			Revision: r.Revision,
			Base:     r.Base,
			ChangeID: r.ChangeID,
			Author:   r.Author,
			Time:     r.Time,
			Message:  r.Message,
		}
	}
	return c.JSON(http.StatusOK, answer)
}

func (s *server) fleet(c echo.Context) (administration.Fleet, error) {
	ctx, cancel := context.WithTimeout(c.Request().Context(), s.options.ControlTimeout)
	defer cancel()
	fleet, err := s.control.Status(ctx)
	fleet.Daemons = orEmpty(fleet.Daemons)
	fleet.Drains = orEmpty(fleet.Drains)
	return fleet, err
}

func (s *server) status(c echo.Context, _ administration.Principal) error {
	fleet, err := s.fleet(c)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, fleet)
}

func (s *server) drains(c echo.Context, _ administration.Principal) error {
	fleet, err := s.fleet(c)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, fleet.Drains)
}

func (s *server) explain(c echo.Context, _ administration.Principal) error {
	current, err := s.current()
	if err != nil {
		return err
	}
	customer := domain.CustomerID(c.QueryParam("customer"))
	class := domain.ClassID(c.QueryParam("class"))
	if known := current.Policy.Customers[customer]; known != nil && class == "" {
		class = known.DefaultClass
	}
	e, err := policy.Explain(current.Policy, customer, class, domain.ModelID(c.QueryParam("model")), c.QueryParam("adapter"))
	if err != nil {
		return err
	}
	setRevision(c, current)
	return c.JSON(http.StatusOK, e)
}
