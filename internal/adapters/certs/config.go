package certs

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// http1 keeps one request to a connection, so that a bound on connections also
// bounds requests.
var http1 = []string{"http/1.1"}

// Server returns the configuration of a listener. With certificate authorities
// clients must present a certificate of one of them.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: http1,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.server(), nil
		},
		// net/http refuses a configuration without a certificate, although
		// GetConfigForClient replaces it.
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.material().certificate, nil
		},
	}
}

func (s *Source) server() *tls.Config {
	m := s.material()
	cfg := &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: http1}
	if m.certificate != nil {
		cfg.Certificates = []tls.Certificate{*m.certificate}
	}
	if m.authorities != nil {
		cfg.ClientCAs = m.authorities
		cfg.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return cfg
}

// Client returns the configuration of one new connection to a host, whose
// certificate must carry its name.
func (s *Source) Client(host string) *tls.Config {
	m := s.material()
	cfg := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: host, RootCAs: m.authorities}
	if m.certificate != nil {
		cfg.Certificates = []tls.Certificate{*m.certificate}
	}
	return cfg
}

// Peer returns the configuration of connections to other daemons. Daemons are
// reached by IP address, so their certificates are checked against the
// authorities here and against the daemon's name by VerifyPeer.
func (s *Source) Peer() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: http1,
		// VerifyConnection checks the chain; the address is no name in it.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verifyChain,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			if c := s.material().certificate; c != nil {
				return c, nil
			}
			return &tls.Certificate{}, nil
		},
	}
}

func (s *Source) verifyChain(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return eris.New("peer presented no certificate")
	}
	options := x509.VerifyOptions{Roots: s.material().authorities, Intermediates: x509.NewCertPool()}
	for _, c := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}

// VerifyPeer checks that the certificate of a connection carries the name of
// the daemon in Hello as a DNS name.
func VerifyPeer(state *tls.ConnectionState, hello *ports.Hello) error {
	return VerifyDaemon(state, hello.Member.Daemon)
}

// VerifyDaemon checks that the certificate of a connection carries the name of
// a daemon as a DNS name.
func VerifyDaemon(state *tls.ConnectionState, id domain.DaemonID) error {
	if state == nil || len(state.PeerCertificates) == 0 {
		return eris.Errorf("daemon %q presented no certificate", id)
	}
	leaf := state.PeerCertificates[0]
	for _, name := range leaf.DNSNames {
		if name == string(id) {
			return nil
		}
	}
	return fmt.Errorf("certificate of %v does not belong to daemon %q", leaf.DNSNames, id)
}
