package adminhttp

import (
	"net/http"
	"slices"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/auburndyke/auburndyke/internal/administration"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/policy"
)

// kinds lists what /admin/v1/items serves.
var kinds = []policy.ItemKind{
	policy.ItemTier, policy.ItemLevel, policy.ItemModel, policy.ItemClass, policy.ItemCustomer,
	policy.ItemUpstream, policy.ItemRegion, policy.ItemRule, policy.ItemAdminToken,
}

func kindOf(c echo.Context) (policy.ItemKind, error) {
	kind := policy.ItemKind(c.Param("kind"))
	if !slices.Contains(kinds, kind) {
		return "", &administration.ErrorResponse{Code: administration.CodeNotFound, Message: "there is no such kind of item"}
	}
	return kind, nil
}

// part returns the entries that a call reads.
func (s *server) part(c echo.Context, who administration.Principal) (*policy.Document, administration.ItemsResponse, error) {
	var answer administration.ItemsResponse
	kind, err := kindOf(c)
	if err != nil {
		return nil, answer, err
	}
	if kind == policy.ItemAdminToken {
		if err := who.RequireOperator("or read " + string(kind)); err != nil {
			return nil, answer, err
		}
	}
	current, err := s.current()
	if err != nil {
		return nil, answer, err
	}
	d, err := visible(c, current.Document, who).Only(kind, c.Param("id"))
	if err != nil {
		return nil, answer, err
	}
	setRevision(c, current)
	answer.Revision = current.Revision
	answer.Items = []administration.ItemResponse{}
	for _, item := range d.Items(kind) {
		fields := make(map[string]string, len(item.Fields))
		for _, f := range item.Fields {
			fields[f.Name] = f.Value
		}
		answer.Items = append(answer.Items, administration.ItemResponse{Kind: kind, ID: item.ID, Fields: fields})
	}
	return d, answer, nil
}

func wantsTOML(c echo.Context) bool {
	return strings.Contains(c.Request().Header.Get(echo.HeaderAccept), mimeTOML)
}

func (s *server) listItems(c echo.Context, who administration.Principal) error {
	d, answer, err := s.part(c, who)
	if err != nil {
		return err
	}
	if wantsTOML(c) {
		return c.Blob(http.StatusOK, mimeTOML, d.Encode())
	}
	return c.JSON(http.StatusOK, answer)
}

func (s *server) getItem(c echo.Context, who administration.Principal) error {
	d, answer, err := s.part(c, who)
	if err != nil {
		return err
	}
	if wantsTOML(c) {
		return c.Blob(http.StatusOK, mimeTOML, d.Encode())
	}
	return c.JSON(http.StatusOK, answer.Items[0])
}

func (s *server) putItem(c echo.Context, who administration.Principal) error {
	kind, err := kindOf(c)
	if err != nil {
		return err
	}
	body, err := s.readBody(c)
	if err != nil {
		return err
	}
	return s.change(c, who, func(base *policy.Document) (*policy.Document, error) {
		next, list := base.Apply(fileName(c), body)
		if err := list.Err(); err != nil {
			return nil, err
		}
		for _, change := range policy.Diff(base, next) {
			if change.Kind != kind || change.ID != c.Param("id") {
				return nil, invalid("the request body holds other items than " + string(kind) + "/" + c.Param("id"))
			}
		}
		return next, nil
	})
}

func (s *server) removeItem(c echo.Context, who administration.Principal) error {
	kind, err := kindOf(c)
	if err != nil {
		return err
	}
	return s.change(c, who, func(base *policy.Document) (*policy.Document, error) {
		return base.Remove(kind, c.Param("id"))
	})
}

func (s *server) changeLabels(c echo.Context, who administration.Principal) error {
	kind, err := kindOf(c)
	if err != nil {
		return err
	}
	var body administration.LabelsRequest
	if err := s.readJSON(c, &body); err != nil {
		return err
	}
	return s.change(c, who, func(base *policy.Document) (*policy.Document, error) {
		return editLabels(base, kind, c.Param("id"), body)
	})
}

// editLabels applies a request to a document. Removing an absent label changes
// nothing.
func editLabels(d *policy.Document, kind policy.ItemKind, id string, r administration.LabelsRequest) (*policy.Document, error) {
	if len(r.Set)+len(r.Remove) == 0 {
		return nil, invalid("the request changes no label")
	}
	var err error
	for _, key := range r.Remove {
		if d, err = d.RemoveLabel(kind, id, key); err != nil {
			return nil, err
		}
	}
	for key, value := range r.Set {
		if d, err = d.SetLabel(kind, id, key, value); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (s *server) setWeight(c echo.Context, who administration.Principal) error {
	var body administration.WeightRequest
	if err := s.readJSON(c, &body); err != nil {
		return err
	}
	return s.change(c, who, func(base *policy.Document) (*policy.Document, error) {
		return base.SetWeight(domain.CustomerID(c.Param("id")), body.Weight)
	})
}
