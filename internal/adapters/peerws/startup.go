package peerws

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/auburndyke/auburndyke/internal/configlog"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

const (
	// StartupPath is where a starting daemon asks its peers while the platform
	// cannot be reached.
	StartupPath = "/v1/startup"
	// MaxStartupBytes is the largest answer to it. Its document is the largest
	// part.
	MaxStartupBytes = MaxFrameBytes
	// startupTimeout bounds one question.
	startupTimeout  = 2 * time.Second
	contentTypeCBOR = "application/cbor"
)

// StartupQuestion is what a starting daemon asks.
type StartupQuestion struct {
	Region domain.Region
	// Have is the highest revision that the daemon already holds. Its content
	// is not sent again.
	Have domain.Revision
}

// StartupAnswer is a peer's answer.
type StartupAnswer struct {
	Peer ports.Member `cbor:"1,keyasint"`
	// Ready is false while the peer itself has not finished starting.
	Ready    bool            `cbor:"2,keyasint,omitempty"`
	Revision domain.Revision `cbor:"3,keyasint,omitempty"`
	// Roster lists the live and suspected daemons of the asking daemon's
	// region.
	Roster []ports.Member `cbor:"4,keyasint,omitempty"`
	// Document is the revision in force, if it is newer than Have.
	Document *configlog.Document `cbor:"5,keyasint,omitempty"`
}

// StartupHandler answers starting daemons.
func StartupHandler(answer func(StartupQuestion) StartupAnswer) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		have, err := strconv.ParseUint(query.Get("have"), 10, 64)
		if err != nil || query.Get("region") == "" {
			http.Error(w, "parameters region and have are required", http.StatusBadRequest)
			return
		}
		data, err := encoder.Marshal(answer(StartupQuestion{Region: domain.Region(query.Get("region")), Have: domain.Revision(have)}))
		if err != nil || len(data) > MaxStartupBytes {
			http.Error(w, "answer cannot be encoded within its bound", http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", contentTypeCBOR)
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(startupTimeout))
		_, _ = w.Write(data)
	})
}

// Asker asks peers for what a starting daemon needs.
type Asker struct {
	scheme string
	client *http.Client
	verify func(*tls.ConnectionState, *ports.Hello) error
}

// NewAsker returns an Asker with the client side of a Transport's
// configuration.
func NewAsker(cfg Config) *Asker {
	a := &Asker{scheme: "http", verify: cfg.VerifyPeer}
	if cfg.ClientTLS != nil {
		a.scheme = "https"
	}
	a.client = &http.Client{
		Transport: &http.Transport{
			DialContext:         cfg.Dial,
			TLSClientConfig:     cfg.ClientTLS,
			TLSHandshakeTimeout: handshakeTimeout,
			DisableKeepAlives:   true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return a
}

// Ask sends one question to a peer's address.
func (a *Asker) Ask(ctx context.Context, address string, q StartupQuestion) (StartupAnswer, error) {
	query := url.Values{"region": {string(q.Region)}, "have": {strconv.FormatUint(uint64(q.Have), 10)}}
	data, state, err := a.get(ctx, address, StartupPath, query)
	if err != nil {
		return StartupAnswer{}, err
	}
	return a.decode(data, address, state)
}

// get reads one bounded answer of a peer.
func (a *Asker) get(ctx context.Context, address, path string, query url.Values) ([]byte, *tls.ConnectionState, error) {
	ctx, cancel := context.WithTimeout(ctx, startupTimeout)
	defer cancel()
	target := url.URL{Scheme: a.scheme, Host: address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, nil, err
	}
	response, err := a.client.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, nil, fmt.Errorf("%w: %s answered %s", ErrProtocol, address, response.Status)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, MaxStartupBytes+1))
	return data, response.TLS, err
}

func (a *Asker) decode(data []byte, address string, state *tls.ConnectionState) (StartupAnswer, error) {
	var answer StartupAnswer
	if len(data) > MaxStartupBytes {
		return answer, fmt.Errorf("%w: answer of %s exceeds %d bytes", ErrProtocol, address, MaxStartupBytes)
	}
	if err := decoder.Unmarshal(data, &answer); err != nil {
		return StartupAnswer{}, fmt.Errorf("%w: answer of %s: %w", ErrProtocol, address, err)
	}
	if answer.Peer.Daemon == "" {
		return StartupAnswer{}, fmt.Errorf("%w: answer of %s names no daemon", ErrProtocol, address)
	}
	if a.verify != nil {
		if err := a.verify(state, &ports.Hello{Protocol: Protocol, Member: answer.Peer, Revision: answer.Revision}); err != nil {
			return StartupAnswer{}, err
		}
	}
	return answer, nil
}
