package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/settings"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// DefaultCheckInterval is the shortest time between two looks at the files.
const DefaultCheckInterval = 2 * time.Second

// material is one consistent state of the files.
type material struct {
	stamps      [3]stamp
	certificate *tls.Certificate // nil without a certificate file
	authorities *x509.CertPool   // nil means the system's
}

// stamp changes when a file is replaced.
type stamp struct {
	modified time.Time
	size     int64
}

// Source holds the files of one TLS section. Its methods may be called
// concurrently.
type Source struct {
	files    settings.TLS
	log      *telemetry.Log
	interval time.Duration

	mu      sync.Mutex
	checked time.Time
	current material
	refused [3]stamp // state that did not load
}

// Open reads the files for the first time. It fails when they cannot be used.
// An interval of zero means DefaultCheckInterval.
func Open(files settings.TLS, log *telemetry.Log, interval time.Duration) (*Source, error) {
	if interval == 0 {
		interval = DefaultCheckInterval
	}
	stamps, err := stampsOf(files)
	if err != nil {
		return nil, err
	}
	loaded, err := load(files, stamps)
	if err != nil {
		return nil, err
	}
	return &Source{files: files, log: log, interval: interval, current: loaded, checked: time.Now()}, nil
}

func paths(files settings.TLS) [3]string {
	return [3]string{files.CAFile, files.CertificateFile, files.KeyFile}
}

func stampsOf(files settings.TLS) ([3]stamp, error) {
	var stamps [3]stamp
	for i, path := range paths(files) {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return stamps, eris.Wrap(err, "TLS file")
		}
		stamps[i] = stamp{info.ModTime(), info.Size()}
	}
	return stamps, nil
}

func load(files settings.TLS, stamps [3]stamp) (material, error) {
	m := material{stamps: stamps}
	if files.CertificateFile != "" {
		pair, err := tls.LoadX509KeyPair(files.CertificateFile, files.KeyFile)
		if err != nil {
			return m, eris.Wrapf(err, "certificate %s", files.CertificateFile)
		}
		m.certificate = &pair
	}
	if files.CAFile == "" {
		return m, nil
	}
	data, err := os.ReadFile(files.CAFile)
	if err != nil {
		return m, eris.Wrap(err, "certificate authorities")
	}
	m.authorities = x509.NewCertPool()
	if !m.authorities.AppendCertsFromPEM(data) {
		return m, eris.Errorf("file %s holds no certificate", files.CAFile)
	}
	return m, nil
}

// material returns the newest usable state of the files.
func (s *Source) material() material {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.checked) < s.interval {
		return s.current
	}
	s.checked = now
	stamps, err := stampsOf(s.files)
	if err == nil && (stamps == s.current.stamps || stamps == s.refused) {
		return s.current
	}
	var next material
	if err == nil {
		next, err = load(s.files, stamps)
	}
	if err != nil {
		s.refused = stamps
		s.log.Event(telemetry.CertificatesRejected).Err(err).Msg("")
		return s.current
	}
	s.current = next
	s.log.Event(telemetry.CertificatesLoaded).Str("certificate", s.files.CertificateFile).Str("authorities", s.files.CAFile).Msg("")
	return s.current
}
