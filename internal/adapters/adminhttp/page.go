package adminhttp

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/auburndyke/auburndyke/internal/administration"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": attainmentText,
	"clock":   clockText,
}).Parse(pageText))

// pageData is what the status page shows.
type pageData struct {
	Fleet   administration.Fleet
	Summary administration.Summary
}

func attainmentText(t administration.TierStatus) string {
	share, ok := t.Attainment()
	if !ok {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", share*100)
}

func clockText(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

// page serves the read-only status page. Browsers send the token as the
// password of HTTP basic authentication. The API does not accept that, so a
// page of another site cannot make a browser change anything.
func (s *server) page(c echo.Context) error {
	_, token, _ := c.Request().BasicAuth()
	if token == "" {
		token = bearerToken(c.Request())
	}
	if token == "" {
		c.Response().Header().Set(echo.HeaderWWWAuthenticate, `Basic realm="auburndyke: any name, token as password", charset="UTF-8"`)
		return c.String(http.StatusUnauthorized, "an administration token is required\n")
	}
	if _, err := s.authenticate(c, token); err != nil {
		c.Response().Header().Set(echo.HeaderWWWAuthenticate, `Basic realm="auburndyke: any name, token as password", charset="UTF-8"`)
		return c.String(http.StatusUnauthorized, "the administration token is unknown\n")
	}
	fleet, err := s.fleet(c)
	if err != nil {
		return err
	}
	var out bytes.Buffer
	if err := pageTemplate.Execute(&out, pageData{fleet, administration.Summarize(fleet)}); err != nil {
		return err
	}
	return c.HTMLBlob(http.StatusOK, out.Bytes())
}
