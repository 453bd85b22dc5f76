package certs

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/settings"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// testInterval keeps the tests short; files carry distinct sizes or times.
const testInterval = time.Millisecond

type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return &authority{cert, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// issue writes the three files of a certificate for name into dir.
func (a *authority) issue(t *testing.T, dir, name string, serial int64) settings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), DNSNames: []string{name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	files := settings.TLS{
		CAFile: filepath.Join(dir, "ca.pem"), CertificateFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem"),
	}
	write(t, files.CAFile, a.pem)
	write(t, files.CertificateFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	write(t, files.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}))
	return files
}

func write(t *testing.T, path string, data []byte) {
	assert.NilError(t, os.WriteFile(path, data, 0o600))
}

func open(t *testing.T, files settings.TLS, log *telemetry.Log) *Source {
	s, err := Open(files, log, testInterval)
	assert.NilError(t, err)
	return s
}

// handshake returns both sides' errors and what the client saw.
func handshake(t *testing.T, server, client *tls.Config) (state tls.ConnectionState, serverErr, clientErr error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	done := make(chan error, 1)
	go func() {
		raw, err := l.Accept()
		if err != nil {
			done <- err
			return
		}
		defer func() { _ = raw.Close() }()
		c := tls.Server(raw, server)
		if err = c.Handshake(); err == nil {
			_, err = c.Write([]byte{1})
		}
		done <- err
	}()
	raw, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = raw.Close() }()
	c := tls.Client(raw, client)
	clientErr = c.Handshake()
	if clientErr == nil {
		// With TLS 1.3 the server's refusal arrives behind the handshake.
		_, clientErr = c.Read(make([]byte, 1))
	}
	_ = raw.Close()
	serverErr = <-done
	return c.ConnectionState(), serverErr, clientErr
}

// Guards against daemons that accept a stranger, or one daemon that speaks for
// another.
func TestPeersAuthenticateEachOther(t *testing.T) {
	ours, strange := newAuthority(t), newAuthority(t)
	server := open(t, ours.issue(t, t.TempDir(), "entry-1", 2), telemetry.NopLog())
	client := open(t, ours.issue(t, t.TempDir(), "entry-2", 3), telemetry.NopLog())
	stranger := open(t, strange.issue(t, t.TempDir(), "entry-2", 4), telemetry.NopLog())

	state, serverErr, clientErr := handshake(t, server.Server(), client.Peer())
	assert.NilError(t, serverErr)
	assert.NilError(t, clientErr)
	assert.NilError(t, VerifyPeer(&state, &ports.Hello{Member: ports.Member{Daemon: "entry-1"}}))
	assert.ErrorContains(t, VerifyPeer(&state, &ports.Hello{Member: ports.Member{Daemon: "entry-2"}}), "does not belong")
	assert.ErrorContains(t, VerifyPeer(nil, &ports.Hello{}), "no certificate")

	_, serverErr, _ = handshake(t, server.Server(), &tls.Config{InsecureSkipVerify: true})
	assert.ErrorContains(t, serverErr, "certificate")
	_, _, clientErr = handshake(t, stranger.Server(), client.Peer())
	assert.ErrorContains(t, clientErr, "unknown authority")
	// The client must not trust the server for this part of the check.
	blind := stranger.Peer()
	blind.VerifyConnection = nil
	_, serverErr, _ = handshake(t, server.Server(), blind)
	assert.ErrorContains(t, serverErr, "unknown authority")
}

// Guards against a platform's address that another host answers.
func TestClientChecksHostName(t *testing.T) {
	ca := newAuthority(t)
	files := ca.issue(t, t.TempDir(), "platform.internal", 2)
	callers := files
	callers.CAFile = ""
	server := open(t, callers, telemetry.NopLog())
	client := open(t, settings.TLS{CAFile: files.CAFile}, telemetry.NopLog())
	for host, want := range map[string]string{"platform.internal": "", "127.0.0.1": "", "other.internal": "certificate is valid for"} {
		_, _, err := handshake(t, server.Server(), client.Client(host))
		if want == "" {
			assert.NilError(t, err, host)
			continue
		}
		assert.ErrorContains(t, err, want)
	}
}

func serial(t *testing.T, server, client *Source) int64 {
	time.Sleep(2 * testInterval)
	state, _, err := handshake(t, server.Server(), client.Peer())
	assert.NilError(t, err)
	return state.PeerCertificates[0].SerialNumber.Int64()
}

// Guards against restarts for new certificates and against an outage because
// of files that do not fit together.
func TestFilesAreReadAgain(t *testing.T) {
	ca := newAuthority(t)
	dir := t.TempDir()
	var out bytes.Buffer
	server := open(t, ca.issue(t, dir, "entry-1", 2), telemetry.NewLog(&out, zerolog.InfoLevel, "entry-1"))
	client := open(t, ca.issue(t, t.TempDir(), "entry-2", 3), telemetry.NopLog())
	assert.Equal(t, serial(t, server, client), int64(2))

	key := filepath.Join(dir, "key.pem")
	write(t, key, []byte("broken"))
	assert.Equal(t, serial(t, server, client), int64(2), "the last good certificate stays")
	assert.Equal(t, serial(t, server, client), int64(2))
	assert.Equal(t, strings.Count(out.String(), telemetry.CertificatesRejected.Code), 1, "one line for one state of the files")
	assert.NilError(t, os.Remove(key))
	assert.Equal(t, serial(t, server, client), int64(2))

	ca.issue(t, dir, "entry-1", 4)
	assert.Equal(t, serial(t, server, client), int64(4))
	assert.Equal(t, strings.Count(out.String(), telemetry.CertificatesLoaded.Code), 1)
	other := newAuthority(t)
	write(t, filepath.Join(dir, "ca.pem"), other.pem)
	time.Sleep(2 * testInterval)
	_, serverErr, _ := handshake(t, server.Server(), client.Peer())
	assert.ErrorContains(t, serverErr, "unknown authority")
}
