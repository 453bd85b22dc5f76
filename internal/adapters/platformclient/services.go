package platformclient

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

type rowsResponse struct {
	Rows []ports.Row `json:"rows"`
}

type getRequest struct {
	Keys []string `json:"keys"`
}

// Get implements ports.Table.
func (c *Client) Get(ctx context.Context, keys ...string) ([]ports.Row, error) {
	var answer rowsResponse
	err := c.post(ctx, "/v1/table/get", getRequest{keys}, &answer)
	return answer.Rows, err
}

type scanRequest struct {
	Prefix string        `json:"prefix"`
	After  string        `json:"after"`
	Limit  int           `json:"limit"`
	Since  ports.Version `json:"since"`
}

// Scan implements ports.Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int, since ports.Version) ([]ports.Row, error) {
	var answer rowsResponse
	err := c.post(ctx, "/v1/table/scan", scanRequest{prefix, after, limit, since}, &answer)
	return answer.Rows, err
}

type commitRequest struct {
	Writes []ports.Write `json:"writes"`
}

type commitResponse struct {
	Version ports.Version `json:"version"`
}

// Commit implements ports.Table. It is sent once.
func (c *Client) Commit(ctx context.Context, writes ...ports.Write) (ports.Version, error) {
	body, err := json.Marshal(commitRequest{writes})
	if err != nil {
		return 0, eris.Wrap(err, "platform request")
	}
	answer, err := c.write(ctx, call{method: http.MethodPost, path: "/v1/table/commit", body: body})
	if err != nil {
		return 0, err
	}
	var parsed commitResponse
	if err := json.Unmarshal(answer, &parsed); err != nil || parsed.Version == 0 {
		return 0, fmt.Errorf("%w: response %q has no version", ports.ErrUnknownOutcome, answer)
	}
	return parsed.Version, nil
}

// Put implements ports.Objects. It is sent once; repeating it is safe, because
// a name is never reused for other content.
func (c *Client) Put(ctx context.Context, name string, data []byte) error {
	_, err := c.write(ctx, call{method: http.MethodPut, path: "/v1/objects/" + escape(name), body: data})
	return err
}

// Read implements ports.Objects.
func (c *Client) Read(ctx context.Context, name string) ([]byte, error) {
	return c.read(ctx, call{method: http.MethodGet, path: "/v1/objects/" + escape(name)})
}

// escape keeps the slashes of a name.
func escape(name string) string {
	parts := strings.Split(name, "/")
	for i := range parts {
		parts[i] = url.PathEscape(parts[i])
	}
	return strings.Join(parts, "/")
}

// VMs implements ports.VMList.
func (c *Client) VMs(ctx context.Context) ([]domain.VM, error) {
	var vms []domain.VM
	err := c.get(ctx, "/v1/vms", &vms)
	return vms, err
}

type weightsResponse struct {
	Size int64 `json:"size"`
}

// Size implements ports.WeightStore.
func (c *Client) Size(ctx context.Context, artefact string) (int64, error) {
	var answer weightsResponse
	err := c.get(ctx, "/v1/weights/"+escape(artefact), &answer)
	return answer.Size, err
}
