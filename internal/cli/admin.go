package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/auburndyke/auburndyke/internal/administration"
	"github.com/auburndyke/auburndyke/internal/domain"
)

// Exit codes of commands that call the administration API.
const (
	ExitConflict    = 3 // another change contradicts this one
	ExitRefused     = 4 // the token is unknown or may not do this
	ExitUnavailable = 5 // the daemon or the platform cannot be reached; nothing was changed
	ExitUnknown     = 6 // the change may have been accepted; repeat it with the same change id
	ExitForce       = 7 // the change has consequences that need --force
)

const adminExitCodesHelp = `
Exit codes: 0 done, 1 the configuration would have errors, 2 wrong arguments or
request, 3 another change contradicts this one, 4 the token is unknown or may
not do this, 5 the daemon or the platform cannot be reached and nothing was
changed, 6 the change may have been accepted (repeat it with the same
--change-id and --base), 7 the change has consequences that need --force.`

const (
	// changeAttempts is how often a change with an unknown outcome is sent.
	changeAttempts = 3
	// repeatDelay is the time between these attempts.
	repeatDelay = 500 * time.Millisecond
	// maxAnswerBytes bounds an answer of the API.
	maxAnswerBytes = 64 << 20
	maxTokenBytes  = 512
)

// adminOptions are the flags that reach a daemon's administration API.
type adminOptions struct {
	url       string
	tokenFile string
	timeout   time.Duration
	format    output
}

func (o *adminOptions) addFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVar(&o.url, "admin", "", "URL of a daemon's administration listener")
	flags.StringVar(&o.tokenFile, "token-file", "", "file that holds the administration token")
	flags.DurationVar(&o.timeout, "timeout", 15*time.Second, "time for one call")
	addOutputFlag(cmd, &o.format)
}

// newAdminCommand returns a command that calls the administration API.
func newAdminCommand(o *adminOptions, use, short, long string, run func(*cobra.Command, *adminClient, []string) error) *cobra.Command {
	cmd := &cobra.Command{
		Use:           use,
		Short:         short,
		Long:          long + "\n" + adminExitCodesHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			return client.report(cmd.OutOrStdout(), run(cmd, client, args))
		},
	}
	o.addFlags(cmd)
	cobra.CheckErr(cmd.MarkFlagRequired("admin"))
	cobra.CheckErr(cmd.MarkFlagRequired("token-file"))
	return cmd
}

// adminClient calls the administration API of one daemon.
type adminClient struct {
	base   string
	token  string
	format output
	http   *http.Client
}

func (o *adminOptions) client() (*adminClient, error) {
	base, err := url.Parse(o.url)
	if err != nil || base.Host == "" || base.Scheme != "http" && base.Scheme != "https" {
		return nil, usageErrorf("--admin must be a URL such as https://10.0.0.1:9443")
	}
	token, err := readToken(o.tokenFile)
	if err != nil {
		return nil, err
	}
	return &adminClient{
		base:   strings.TrimSuffix(base.Scheme+"://"+base.Host+base.Path, "/"),
		token:  token,
		format: o.format,
		http: &http.Client{
			Timeout: o.timeout,
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
	}, nil
}

func readToken(path string) (string, error) {
	if path == "" {
		return "", usageErrorf("--token-file is required")
	}
	file, err := os.Open(path)
	if err != nil {
		return "", &ExitError{ExitUsage, err}
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, maxTokenBytes+1))
	if err != nil {
		return "", &ExitError{ExitUsage, err}
	}
	token := strings.TrimSpace(string(data))
	if token == "" || len(data) > maxTokenBytes || strings.ContainsAny(token, "\r\n") {
		return "", usageErrorf("token file %s must hold one token of at most %d bytes", path, maxTokenBytes)
	}
	return token, nil
}

// adminRequest is one call.
type adminRequest struct {
	method, path string
	query        url.Values
	header       map[string]string
	body         []byte
	mime         string
	accept       string
}

// adminResponse is a successful answer.
type adminResponse struct {
	body     []byte
	revision domain.Revision
}

// unreachableError means that no answer arrived.
type unreachableError struct {
	err error
	// unsent is set when no connection was made, so that the daemon saw
	// nothing of the call.
	unsent bool
}

func (e *unreachableError) Error() string { return e.err.Error() }

// do makes one call. Failed calls give an *administration.ErrorResponse or an
// *unreachableError.
func (c *adminClient) do(ctx context.Context, r adminRequest) (adminResponse, error) {
	target := c.base + r.path
	if len(r.query) > 0 {
		target += "?" + r.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, r.method, target, bytes.NewReader(r.body))
	if err != nil {
		return adminResponse{}, &ExitError{ExitUsage, err}
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	if r.mime != "" {
		req.Header.Set("Content-Type", r.mime)
	}
	if r.accept != "" {
		req.Header.Set("Accept", r.accept)
	}
	for name, value := range r.header {
		req.Header.Set(name, value)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		var dial *net.OpError
		return adminResponse{}, &unreachableError{err, errors.As(err, &dial) && dial.Op == "dial"}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return adminResponse{}, &unreachableError{err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return adminResponse{}, failedAnswer(resp.StatusCode, body)
	}
	revision, _ := strconv.ParseUint(strings.Trim(resp.Header.Get("ETag"), `"`), 10, 64)
	return adminResponse{body, domain.Revision(revision)}, nil
}

func failedAnswer(status int, body []byte) error {
	var answer administration.ErrorResponse
	if err := json.Unmarshal(body, &answer); err != nil || answer.Code == "" {
		return &unreachableError{err: fmt.Errorf("the administration URL answered %s, which is no answer of the API", http.StatusText(status))}
	}
	return &answer
}

// get reads JSON.
func (c *adminClient) get(ctx context.Context, path string, query url.Values, into any) (domain.Revision, error) {
	resp, err := c.do(ctx, adminRequest{method: http.MethodGet, path: path, query: query})
	if err != nil {
		return 0, err
	}
	return resp.revision, json.Unmarshal(resp.body, into)
}

// head returns the revision in force. If first is set, it is zero while there is
// none; a daemon that has only just started may lack one that exists, but a
// change based on zero then conflicts.
func (c *adminClient) head(ctx context.Context, first bool) (domain.Revision, error) {
	resp, err := c.do(ctx, adminRequest{method: http.MethodGet, path: itemsPath("tiers")})
	var answer *administration.ErrorResponse
	if first && errors.As(err, &answer) && answer.Code == administration.CodeNotReady {
		return 0, nil
	}
	return resp.revision, err
}

func itemsPath(parts ...string) string {
	path := "/admin/v1/items"
	for _, p := range parts {
		path += "/" + url.PathEscape(p)
	}
	return path
}

// changeOptions are the flags of commands that change the configuration.
type changeOptions struct {
	message  string
	base     string
	changeID string
	dryRun   bool
	force    bool
	// first allows the change to be the first of a deployment.
	first bool
}

func (o *changeOptions) addFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVarP(&o.message, "message", "m", "", "reason, kept in the history")
	flags.StringVar(&o.base, "base", "", "revision that the change was made from (default: the revision in force)")
	flags.StringVar(&o.changeID, "change-id", "", "id of the change, to repeat an earlier one (default: a new id)")
	flags.BoolVar(&o.dryRun, "dry-run", false, "show the effect without making the change")
	flags.BoolVar(&o.force, "force", false, "confirm the warnings")
}

// change makes a change. While the outcome is unknown it repeats the call,
// which is safe because the change id stays the same.
func (c *adminClient) change(ctx context.Context, o changeOptions, r adminRequest) (administration.ChangeResponse, error) {
	var answer administration.ChangeResponse
	if err := c.prepare(ctx, &o, &r); err != nil {
		return answer, err
	}
	resp, sent, err := c.repeat(ctx, r)
	if err == nil {
		err = json.Unmarshal(resp.body, &answer)
	}
	var unreachable *unreachableError
	if errors.As(err, &unreachable) && sent && !o.dryRun {
		base, _ := strconv.ParseUint(o.base, 10, 64)
		return answer, &administration.ErrorResponse{
			Code:     administration.CodeUnknownOutcome,
			Message:  fmt.Sprintf("%v; the change may have been accepted", err),
			ChangeID: o.changeID,
			Base:     domain.Revision(base),
		}
	}
	return answer, err
}

// repeat makes a call until its outcome is known, a few times at most. It
// reports whether the daemon may have seen any of the calls.
func (c *adminClient) repeat(ctx context.Context, r adminRequest) (resp adminResponse, sent bool, err error) {
	for attempt := range changeAttempts {
		if attempt > 0 && !pause(ctx, repeatDelay) {
			return resp, sent, err
		}
		resp, err = c.do(ctx, r)
		var unreachable *unreachableError
		var answer *administration.ErrorResponse
		switch {
		case errors.As(err, &unreachable):
			sent = sent || !unreachable.unsent
		case errors.As(err, &answer) && answer.Code == administration.CodeUnknownOutcome:
			sent = true
		default:
			return resp, true, err
		}
	}
	return resp, sent, err
}

// pause waits and reports whether ctx is still alive.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// prepare fills in the base and the change id.
func (c *adminClient) prepare(ctx context.Context, o *changeOptions, r *adminRequest) error {
	if o.base == "" {
		head, err := c.head(ctx, o.first)
		if err != nil {
			return err
		}
		o.base = strconv.FormatUint(uint64(head), 10)
	}
	if o.changeID == "" {
		o.changeID = uuid.NewString()
	}
	if r.query == nil {
		r.query = url.Values{}
	}
	if o.dryRun {
		r.query.Set("dry_run", "true")
	}
	if o.force {
		r.query.Set("force", "true")
	}
	r.header = map[string]string{"If-Match": `"` + o.base + `"`, "Idempotency-Key": o.changeID}
	if o.message != "" {
		r.header["Auburndyke-Message"] = o.message
	}
	return nil
}
