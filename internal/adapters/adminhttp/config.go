package adminhttp

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/auburndyke/auburndyke/internal/administration"
	"github.com/auburndyke/auburndyke/internal/policy"
)

const (
	mimeTOML = "application/toml"
	// headerRedacted marks answers without hashes.
	headerRedacted = "Auburndyke-Redacted"
	defaultHistory = 20
	maxHistory     = 200
)

// current returns the configuration in force.
func (s *server) current() (administration.Snapshot, error) {
	current, ok := s.control.Current()
	if !ok {
		return current, &administration.ErrorResponse{Code: administration.CodeNotReady, Message: "no configuration is in force"}
	}
	return current, nil
}

// visible returns the part of a document that a principal may see. Hashes of
// weak keys can be guessed, so only operators see them.
func visible(c echo.Context, d *policy.Document, who administration.Principal) *policy.Document {
	if who.IsOperator() {
		return d
	}
	c.Response().Header().Set(headerRedacted, "true")
	return d.WithoutHashes()
}

func setRevision(c echo.Context, s administration.Snapshot) {
	c.Response().Header().Set("ETag", fmt.Sprintf("%q", strconv.FormatUint(uint64(s.Revision), 10)))
}

func (s *server) getConfig(c echo.Context, who administration.Principal) error {
	snapshot, err := s.wanted(c)
	if err != nil {
		return err
	}
	setRevision(c, snapshot)
	return c.Blob(http.StatusOK, mimeTOML, visible(c, snapshot.Document, who).Encode())
}

// wanted returns the revision that the parameter revision names, or the one in
// force.
func (s *server) wanted(c echo.Context) (administration.Snapshot, error) {
	text := c.QueryParam("revision")
	if text == "" {
		return s.current()
	}
	revision, err := parseRevision("revision", text)
	if err != nil {
		return administration.Snapshot{}, err
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), s.options.ControlTimeout)
	defer cancel()
	return s.snapshot(ctx, revision)
}

func (s *server) readBody(c echo.Context) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, s.options.MaxBodyBytes))
	if err != nil {
		if answer := answerOf(err); answer.Code == administration.CodeTooLarge {
			return nil, answer
		}
		return nil, invalid("the request body could not be read")
	}
	return body, nil
}

// readJSON decodes a body strictly.
func (s *server) readJSON(c echo.Context, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, s.options.MaxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		if answer := answerOf(err); answer.Code == administration.CodeTooLarge {
			return answer
		}
		return invalid("the request body is not the expected JSON object")
	}
	return nil
}

func (s *server) replaceConfig(c echo.Context, who administration.Principal) error {
	body, err := s.readBody(c)
	if err != nil {
		return err
	}
	return s.change(c, who, func(*policy.Document) (*policy.Document, error) {
		d, list := policy.Decode(fileName(c), body)
		return d, list.Err()
	})
}

func (s *server) applyConfig(c echo.Context, who administration.Principal) error {
	body, err := s.readBody(c)
	if err != nil {
		return err
	}
	return s.change(c, who, func(base *policy.Document) (*policy.Document, error) {
		d, list := base.Apply(fileName(c), body)
		return d, list.Err()
	})
}

func (s *server) rollForward(c echo.Context, who administration.Principal) error {
	var body administration.RollForwardRequest
	if err := s.readJSON(c, &body); err != nil {
		return err
	}
	if body.To == 0 {
		return invalid("to must name an earlier revision")
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), s.options.ControlTimeout)
	defer cancel()
	earlier, err := s.snapshot(ctx, body.To)
	if err != nil {
		return err
	}
	return s.change(c, who, func(*policy.Document) (*policy.Document, error) { return earlier.Document, nil })
}

func (s *server) history(c echo.Context, _ administration.Principal) error {
	last, limit := uint64(0), uint64(defaultHistory)
	for name, into := range map[string]*uint64{"last": &last, "limit": &limit} {
		text := c.QueryParam(name)
		if text == "" {
			continue
		}
		n, err := strconv.ParseUint(text, 10, 63)
		if err != nil {
			return invalid("parameter " + name + " must be a number")
		}
		*into = n
	}
	if limit < 1 || limit > maxHistory {
		return invalid(fmt.Sprintf("parameter limit must be 1 to %d", maxHistory))
	}
	return s.writeHistory(c, last, int(limit))
}
