package adminhttp

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/labstack/echo/v4"

	"github.com/auburndyke/auburndyke/internal/administration"
	"github.com/auburndyke/auburndyke/internal/configlog"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/policy"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// Headers of a change.
const (
	// HeaderChangeID holds the change id, which is unique to the change and
	// stays the same when the call is repeated.
	HeaderChangeID = "Idempotency-Key"
	// HeaderBase holds the revision that the change was made from. The query
	// parameter base replaces it.
	HeaderBase = "If-Match"
	// HeaderMessage holds the reason that is kept in the history.
	HeaderMessage = "Auburndyke-Message"
)

const (
	maxMessageBytes = 500
	maxFileBytes    = 200
	// maxImpact bounds the affected traffic that one answer lists.
	maxImpact = 500
	// maxAudited bounds the changed items that one log line names.
	maxAudited = 20
)

var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// request holds the parameters that all changes share.
type request struct {
	who     administration.Principal
	id      string
	message string
	base    domain.Revision
	dryRun  bool
	force   bool
}

func readRequest(c echo.Context, who administration.Principal) (request, error) {
	r := request{who: who, id: c.Request().Header.Get(HeaderChangeID), message: c.Request().Header.Get(HeaderMessage)}
	var err error
	if r.dryRun, err = flag(c, "dry_run"); err != nil {
		return r, err
	}
	if r.force, err = flag(c, "force"); err != nil {
		return r, err
	}
	if r.base, err = readBase(c); err != nil {
		return r, err
	}
	if !r.dryRun && !changeIDPattern.MatchString(r.id) {
		return r, invalid("header " + HeaderChangeID + " must hold 1 to 128 letters, digits, '.', '_', ':' and '-'")
	}
	if len(r.message) > maxMessageBytes || !printable(r.message) {
		return r, invalid(fmt.Sprintf("header %s must hold at most %d bytes of printable text", HeaderMessage, maxMessageBytes))
	}
	return r, nil
}

func printable(text string) bool {
	return utf8.ValidString(text) && !strings.ContainsFunc(text, func(r rune) bool { return !unicode.IsPrint(r) })
}

func flag(c echo.Context, name string) (bool, error) {
	text := c.QueryParam(name)
	if text == "" {
		return false, nil
	}
	value, err := strconv.ParseBool(text)
	if err != nil {
		return false, invalid("parameter " + name + " must be true or false")
	}
	return value, nil
}

func readBase(c echo.Context) (domain.Revision, error) {
	text := c.QueryParam("base")
	if text == "" {
		text = strings.Trim(c.Request().Header.Get(HeaderBase), `"`)
	}
	if text == "" {
		return 0, &administration.ErrorResponse{
			Code:    administration.CodePreconditionRequired,
			Message: "header " + HeaderBase + " or parameter base must name the revision that the change was made from",
		}
	}
	return parseRevision("base", text)
}

func parseRevision(name, text string) (domain.Revision, error) {
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, invalid(name + " must be a revision number")
	}
	return domain.Revision(n), nil
}

// fileName names the request's body in findings.
func fileName(c echo.Context) string {
	name := c.QueryParam("file")
	if name == "" || len(name) > maxFileBytes || !printable(name) {
		return "request"
	}
	return name
}

// edit makes the changed document from the base.
type edit func(base *policy.Document) (*policy.Document, error)

// planned is a change that may be made.
type planned struct {
	request
	*administration.Plan
}

// plan reads the base, edits it and checks the result.
func (s *server) plan(ctx context.Context, r request, change edit) (*planned, error) {
	current, ok := s.control.Current()
	if !ok {
		current = administration.EmptySnapshot()
	}
	base := current
	if r.base != current.Revision {
		var err error
		if base, err = s.snapshot(ctx, r.base); err != nil {
			return nil, err
		}
	}
	if base.Revision > current.Revision {
		current = base
	}
	select {
	case s.changes <- struct{}{}:
		defer func() { <-s.changes }()
	case <-ctx.Done():
		return nil, errBusy
	}
	next, err := change(base.Document)
	if err != nil {
		return nil, err
	}
	p, err := administration.NewPlan(r.who, base.Document, r.base, current, next)
	if err != nil {
		return nil, err
	}
	return &planned{r, p}, nil
}

// snapshot reads and compiles one revision.
func (s *server) snapshot(ctx context.Context, revision domain.Revision) (administration.Snapshot, error) {
	if revision == 0 {
		return administration.EmptySnapshot(), nil
	}
	doc, err := s.control.Revision(ctx, revision)
	if err != nil {
		return administration.Snapshot{}, err
	}
	name := fmt.Sprintf("revision-%d", revision)
	d, p, list := policy.Load(revision, policy.Source{Name: name, Data: doc.Content})
	return administration.Snapshot{Revision: revision, Document: d, Policy: p}, list.Err()
}

// confirmed fails when a plan has warnings that were not forced.
func (p *planned) confirmed() error {
	if len(p.Warnings) == 0 || p.force {
		return nil
	}
	return &administration.ErrorResponse{
		Code:     administration.CodeForceRequired,
		Message:  "the change has consequences that must be confirmed with force",
		ChangeID: p.id,
		Warnings: p.Warnings,
	}
}

func (p *planned) answer() administration.ChangeResponse {
	return administration.ChangeResponse{
		Verdict:     administration.VerdictDryRun,
		ChangeID:    p.id,
		Base:        p.Base,
		Changes:     orEmpty(p.Changes),
		Impact:      orEmpty(p.Impact[:min(len(p.Impact), maxImpact)]),
		ImpactTotal: len(p.Impact),
		Warnings:    p.Warnings,
		Findings:    p.Findings,
		Conflicts:   p.Conflicts,
	}
}

// orEmpty makes JSON show an empty list instead of null.
func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

// change serves a call that changes the configuration.
func (s *server) change(c echo.Context, who administration.Principal, edited edit) error {
	r, err := readRequest(c, who)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), s.options.ControlTimeout)
	defer cancel()
	p, err := s.plan(ctx, r, edited)
	if err != nil {
		return err
	}
	if r.dryRun {
		return c.JSON(http.StatusOK, p.answer())
	}
	if err := p.confirmed(); err != nil {
		return err
	}
	answer, err := s.propose(ctx, c, p)
	if err != nil {
		return err
	}
	s.followDrains(ctx, p)
	return c.JSON(http.StatusOK, answer)
}

// propose brings a planned change into the log. A change that contradicts the
// configuration in force is proposed too, because an earlier call with the same
// id may have been accepted.
func (s *server) propose(ctx context.Context, c echo.Context, p *planned) (*administration.ChangeResponse, error) {
	answer := p.answer()
	if len(p.Changes) == 0 {
		answer.Verdict, answer.Revision = administration.VerdictUnchanged, p.Base
		return &answer, nil
	}
	result, err := s.control.Propose(ctx, configlog.Change{
		ID:      p.id,
		Author:  p.who.ID,
		Message: p.message,
		Base:    p.Base,
		Content: p.Next.Encode(),
	})
	if err != nil {
		failure := controlAnswer(err)
		if failure.Code == administration.CodeInternal {
			failure = controlAnswer(ports.ErrUnknownOutcome)
		}
		failure.ChangeID, failure.Base = p.id, p.Base
		s.audit(c, p, string(failure.Code), 0)
		return nil, failure
	}
	if !result.Accepted() {
		s.audit(c, p, string(administration.CodeConflict), 0)
		return nil, &administration.ErrorResponse{
			Code:      administration.CodeConflict,
			Message:   fmt.Sprintf("revision %d contradicts the change", result.Head.Revision),
			ChangeID:  p.id,
			Head:      result.Head.Revision,
			Conflicts: result.Conflicts,
		}
	}
	answer.Verdict = administration.VerdictAccepted
	answer.Revision = result.Document.Revision
	answer.Merged = result.Merged
	answer.Repeated = result.Repeated
	answer.Conflicts = nil
	s.audit(c, p, string(answer.Verdict), answer.Revision)
	return &answer, nil
}

// audit records a change. It names items and fields but no values, because
// they may be confidential.
func (s *server) audit(c echo.Context, p *planned, verdict string, revision domain.Revision) {
	s.options.Metrics.Counter(metricChanges, "verdict", verdict).Inc(1)
	items := make([]string, 0, min(len(p.Changes), maxAudited))
	for _, change := range p.Changes[:min(len(p.Changes), maxAudited)] {
		items = append(items, fmt.Sprintf("%s %s/%s", change.Op, change.Kind, change.ID))
	}
	s.options.Log.Event(telemetry.AdminChange).Str("principal", p.who.ID).Str("role", string(p.who.Role)).
		Str("team", p.who.Team).Str("call", call(c)).Str("change_id", p.id).Str("verdict", verdict).
		Uint64("base", uint64(p.Base)).Uint64("revision", uint64(revision)).Bool("forced", p.force).
		Int("changes", len(p.Changes)).Strs("items", items).Str("remote", c.Request().RemoteAddr).Msg("")
}
