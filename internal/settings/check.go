package settings

import (
	"fmt"
	"net/netip"
	"net/url"

	"k8s.io/apimachinery/pkg/util/validation"

	"github.com/auburndyke/auburndyke/internal/findings"
)

const (
	allowedName    = "at most 63 letters, digits, '-', '_' and '.', starting and ending with a letter or digit"
	allowedAddress = `IP address and port such as "10.1.2.3:8000"`
	allowedURL     = `"https://host:port", or "http://" on loopback addresses`
)

type checker struct {
	settings *Settings
	list     *findings.List
	// listening maps an address to the field that uses it.
	listening map[string]string
}

func (c *checker) errorf(field, allowed, format string, args ...any) {
	if c.settings.rejected(field) {
		return
	}
	file, line, column := c.settings.at(field)
	c.list.Errorf(file, line, column, allowed, format, args...)
}

func check(s *Settings, list *findings.List) {
	if len(s.places) == 0 {
		list.Errorf("settings", 0, 0, "", "no settings file is given")
		return
	}
	c := &checker{settings: s, list: list, listening: map[string]string{}}
	c.name("daemon", string(s.Daemon))
	c.name("region", string(s.Region))
	c.name("zone", string(s.Zone))
	c.logLevel()
	c.caller()
	c.admin()
	c.peer()
	c.platform()
}

func (c *checker) name(field, value string) {
	switch {
	case value == "":
		c.errorf(field, allowedName, "key %q is missing", field)
	case len(validation.IsValidLabelValue(value)) > 0:
		c.errorf(field, allowedName, "invalid %s %q", field, value)
	}
}

func (c *checker) logLevel() {
	switch c.settings.LogLevel {
	case LogDebug, LogInfo, LogWarn, LogError:
	default:
		c.errorf("log_level", "debug, info, warn, error", "unknown log_level %q", c.settings.LogLevel)
	}
}

// address checks an IP:port and returns it. It is false when a finding says
// that the address is unusable.
func (c *checker) address(field, value string) (netip.AddrPort, bool) {
	if value == "" {
		c.errorf(field, allowedAddress, "key %q is missing", field)
		return netip.AddrPort{}, false
	}
	at, err := netip.ParseAddrPort(value)
	if err != nil || at.Port() == 0 {
		c.errorf(field, allowedAddress, "invalid address %q in %s", value, field)
		return netip.AddrPort{}, false
	}
	return at, true
}

// listen checks an address to listen on, which no other listener may use.
func (c *checker) listen(field, value string) (netip.AddrPort, bool) {
	at, ok := c.address(field, value)
	if !ok {
		return at, false
	}
	if first, used := c.listening[at.String()]; used {
		c.errorf(field, "", "%s uses the address of %s", field, first)
	}
	c.listening[at.String()] = field
	return at, true
}

func (c *checker) caller() {
	s := &c.settings.Caller
	c.listen("caller.address", s.Address)
	c.pair("caller.tls", s.TLS)
	c.positive("caller.max_body", s.MaxBody)
	c.positive("caller.max_header", s.MaxHeader)
	c.positive("caller.max_connections", int64(s.MaxConnections))
	c.positive("caller.read_header_timeout", int64(s.ReadHeaderTimeout))
	c.positive("caller.read_timeout", int64(s.ReadTimeout))
	c.positive("caller.write_timeout", int64(s.WriteTimeout))
	c.positive("caller.idle_timeout", int64(s.IdleTimeout))
}

// positive rejects zero, which Go's HTTP server would take as unlimited.
func (c *checker) positive(field string, value int64) {
	if value <= 0 {
		c.errorf(field, "over 0", "%s is zero", field)
	}
}

// pair requires a certificate and its key together.
func (c *checker) pair(section string, t TLS) {
	switch {
	case t.CertificateFile != "" && t.KeyFile == "":
		c.errorf(section+".certificate_file", "both files or none", "%s has a certificate_file but no key_file", section)
	case t.CertificateFile == "" && t.KeyFile != "":
		c.errorf(section+".key_file", "both files or none", "%s has a key_file but no certificate_file", section)
	}
}

func (c *checker) admin() {
	s := &c.settings.Admin
	at, ok := c.listen("admin.address", s.Address)
	c.pair("admin.tls", s.TLS)
	if ok && !at.Addr().IsLoopback() && !s.TLS.Enabled() {
		c.errorf("admin.address", "loopback address, or admin.tls", "the administration interface on %s would receive tokens in clear text", s.Address)
	}
}

func (c *checker) peer() {
	s := &c.settings.Peer
	at, ok := c.listen("peer.address", s.Address)
	c.pair("peer.tls", s.TLS)
	mutual := s.TLS.Enabled() && s.TLS.CAFile != ""
	if ok && !at.Addr().IsLoopback() && !mutual {
		c.errorf("peer.address", "loopback address, or ca_file, certificate_file and key_file", "peer connections on %s are not authenticated", s.Address)
	}
	if ok && s.Advertise != s.Address {
		at, ok = c.address("peer.advertise", s.Advertise)
	}
	if ok && at.Addr().IsUnspecified() {
		c.errorf("peer.advertise", allowedAddress, "peers cannot connect to %s", s.Advertise)
	}
	for i, seed := range s.Seeds {
		c.address(fmt.Sprintf("peer.seeds.%d", i), seed)
	}
}

func (c *checker) platform() {
	s := &c.settings.Platform
	if len(s.URLs) == 0 {
		c.errorf("platform.urls", allowedURL, "key %q is missing", "platform.urls")
	}
	for i, text := range s.URLs {
		c.url(fmt.Sprintf("platform.urls.%d", i), text)
	}
	if s.CredentialFile == "" {
		c.errorf("platform.credential_file", "path of a file", "key %q is missing", "platform.credential_file")
	}
	c.positive("platform.timeout", int64(s.Timeout))
	c.pair("platform.tls", s.TLS)
}

// url requires TLS wherever the credential would cross a network.
func (c *checker) url(field, text string) {
	u, err := url.Parse(text)
	if err != nil || u.Hostname() == "" || u.RawQuery != "" || u.User != nil {
		c.errorf(field, allowedURL, "invalid URL %q", text)
		return
	}
	addr, err := netip.ParseAddr(u.Hostname())
	loopback := err == nil && addr.IsLoopback() || u.Hostname() == "localhost"
	if u.Scheme != "https" && !(u.Scheme == "http" && loopback) {
		c.errorf(field, allowedURL, "URL %q would send the credential in clear text", text)
	}
}
