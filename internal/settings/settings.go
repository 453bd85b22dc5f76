package settings

import (
	"path/filepath"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/findings"
	"github.com/auburndyke/auburndyke/internal/policy"
	"github.com/auburndyke/auburndyke/internal/tomlstrict"
)

const (
	kib = 1 << 10
	mib = 1 << 20

	defaultShutdownBound     = 25 * time.Second
	defaultLameDuck          = 3 * time.Second
	defaultMaxBody           = 4 * mib
	defaultMaxHeader         = 64 * kib
	defaultMaxConnections    = 4096
	defaultReadHeaderTimeout = 5 * time.Second
	defaultReadTimeout       = 30 * time.Second
	defaultWriteTimeout      = 10 * time.Second
	defaultIdleTimeout       = 2 * time.Minute
	defaultPlatformTimeout   = 2 * time.Second
)

// LogLevel is the lowest level of log events that are written.
type LogLevel string

const (
	LogDebug LogLevel = "debug"
	LogInfo  LogLevel = "info"
	LogWarn  LogLevel = "warn"
	LogError LogLevel = "error"
)

// Settings is what one daemon process reads at its start.
type Settings struct {
	*tomlstrict.Place `toml:"-" json:"-"`

	// Daemon names the process across restarts. Required.
	Daemon domain.DaemonID `toml:"daemon"`
	// Region is where the process runs. Required.
	Region domain.Region `toml:"region"`
	// Zone is the availability zone inside the region. Required.
	Zone domain.AvailabilityZone `toml:"zone"`
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel LogLevel `toml:"log_level"`
	// ShutdownBound is how long a stop waits for requests in progress. Zero
	// does not wait. Default 25s.
	ShutdownBound time.Duration `toml:"shutdown_bound"`
	// LameDuck is how long a stopping daemon answers readiness checks with
	// "unready" while it still accepts requests, so that the load balancer
	// notices first. Default 3s.
	LameDuck time.Duration `toml:"lame_duck"`

	Caller   Caller   `toml:"caller"`
	Admin    Admin    `toml:"admin"`
	Peer     Peer     `toml:"peer"`
	Platform Platform `toml:"platform"`

	// places holds the positions of each file.
	places []*tomlstrict.Place
}

// Caller is the interface to callers.
type Caller struct {
	// Address is the IP:port to listen on. Required.
	Address string `toml:"address"`
	TLS     TLS    `toml:"tls"`
	// MaxBody bounds a request body. Default 4MiB.
	MaxBody int64 `toml:"max_body,size"`
	// MaxHeader bounds a request's header. Default 64KiB.
	MaxHeader int64 `toml:"max_header,size"`
	// MaxConnections bounds the open connections. Default 4096.
	MaxConnections int `toml:"max_connections"`
	// ReadHeaderTimeout bounds reading a request's header. Default 5s.
	ReadHeaderTimeout time.Duration `toml:"read_header_timeout"`
	// ReadTimeout bounds reading a whole request. Default 30s.
	ReadTimeout time.Duration `toml:"read_timeout"`
	// WriteTimeout bounds each single write of a response, so that a long
	// stream stays open as long as its caller reads. Default 10s.
	WriteTimeout time.Duration `toml:"write_timeout"`
	// IdleTimeout is how long a connection without a request stays open.
	// Default 2m.
	IdleTimeout time.Duration `toml:"idle_timeout"`
}

// Admin is the administration interface.
type Admin struct {
	// Address is the IP:port to listen on. Required.
	Address string `toml:"address"`
	TLS     TLS    `toml:"tls"`
	// TokenHashes holds the SHA-256 hashes of operators' bearer tokens that are
	// accepted while the configuration in force names no administration token.
	// Empty accepts none until then.
	TokenHashes []policy.KeyHash `toml:"token_sha256"`
}

// Peer is the interface to other daemons.
type Peer struct {
	// Address is the IP:port to listen on. Required.
	Address string `toml:"address"`
	// Advertise is the IP:port that other daemons connect to. Default Address.
	Advertise string `toml:"advertise"`
	// Seeds are addresses of daemons to ask while the platform cannot be
	// reached. The process's own address may be among them.
	Seeds []string `toml:"seeds"`
	// TLS is mutual: all three files are needed. It may be left out on
	// loopback addresses only.
	TLS TLS `toml:"tls"`
}

// Platform is the interface to the platform's services.
type Platform struct {
	// URLs are base URLs of equivalent access points, in order of preference.
	// At least one is required.
	URLs []string `toml:"urls"`
	// CredentialFile holds the bearer token. A relative path starts at the
	// directory of the settings file that names it. Required.
	CredentialFile string `toml:"credential_file"`
	// Timeout bounds one call. Default 2s.
	Timeout time.Duration `toml:"timeout"`
	// TLS sets the certificate authority and, when the platform asks for one,
	// the client certificate.
	TLS TLS `toml:"tls"`
}

// TLS names PEM files. Relative paths start at the directory of the settings
// file that names them. Empty means that the file is not used.
type TLS struct {
	// CAFile holds the certificate authorities to trust instead of the
	// system's.
	CAFile          string `toml:"ca_file"`
	CertificateFile string `toml:"certificate_file"`
	KeyFile         string `toml:"key_file"`
}

// Enabled reports whether a certificate is configured.
func (t TLS) Enabled() bool { return t.CertificateFile != "" }

// SetDefaults gives absent keys their default values.
func (s *Settings) SetDefaults() {
	s.LogLevel = LogInfo
	s.ShutdownBound = defaultShutdownBound
	s.LameDuck = defaultLameDuck
	s.Caller.SetDefaults()
	s.Platform.SetDefaults()
}

// SetDefaults gives absent keys their default values.
func (c *Caller) SetDefaults() {
	c.MaxBody = defaultMaxBody
	c.MaxHeader = defaultMaxHeader
	c.MaxConnections = defaultMaxConnections
	c.ReadHeaderTimeout = defaultReadHeaderTimeout
	c.ReadTimeout = defaultReadTimeout
	c.WriteTimeout = defaultWriteTimeout
	c.IdleTimeout = defaultIdleTimeout
}

// SetDefaults gives absent keys their default values.
func (p *Platform) SetDefaults() { p.Timeout = defaultPlatformTimeout }

// Source is one settings file.
type Source = policy.Source

// Decode reads the settings of one process from one or more files and reports
// all findings together. The settings are usable only when the findings hold
// no error. It does not open the files that the settings name.
func Decode(sources ...Source) (*Settings, findings.List) {
	var list findings.List
	s := &Settings{}
	s.SetDefaults()
	for _, source := range sources {
		tomlstrict.Decode(source.Name, source.Data, s, &list)
		s.reportRepeated(&list)
		s.places = append(s.places, s.Place)
	}
	if s.Peer.Advertise == "" {
		s.Peer.Advertise = s.Peer.Address
	}
	check(s, &list)
	s.resolvePaths()
	list.Sort()
	return s, list
}

// resolvePaths makes paths independent of the process's working directory.
func (s *Settings) resolvePaths() {
	s.resolve("platform.credential_file", &s.Platform.CredentialFile)
	s.resolveTLS("caller.tls", &s.Caller.TLS)
	s.resolveTLS("admin.tls", &s.Admin.TLS)
	s.resolveTLS("peer.tls", &s.Peer.TLS)
	s.resolveTLS("platform.tls", &s.Platform.TLS)
}

func (s *Settings) resolveTLS(section string, t *TLS) {
	s.resolve(section+".ca_file", &t.CAFile)
	s.resolve(section+".certificate_file", &t.CertificateFile)
	s.resolve(section+".key_file", &t.KeyFile)
}

func (s *Settings) resolve(field string, path *string) {
	if *path == "" || filepath.IsAbs(*path) {
		return
	}
	file, _, _ := s.at(field)
	*path = filepath.Join(filepath.Dir(file), *path)
}

// reportRepeated reports keys of the newest file that an earlier file sets.
func (s *Settings) reportRepeated(list *findings.List) {
	for _, field := range s.Place.Leaves() {
		for _, earlier := range s.places {
			if earlier.Absent(field) {
				continue
			}
			file, line, column := s.Place.At(field)
			first, firstLine, _ := earlier.At(field)
			list.Errorf(file, line, column, "", "%s is already set at %s:%d", field, first, firstLine)
		}
	}
}

// at returns the place of a field in whichever file sets it, or the beginning
// of the last file.
func (s *Settings) at(field string) (file string, line, column int) {
	for _, p := range s.places {
		if !p.Absent(field) {
			return p.At(field)
		}
	}
	return s.Place.At("")
}

// rejected reports that a finding about a field exists already.
func (s *Settings) rejected(field string) bool {
	for _, p := range s.places {
		if p.Rejected(field) {
			return true
		}
	}
	return false
}
