package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// testAuthority signs certificates for tests.
type testAuthority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

var now = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

func newAuthority(t *testing.T) *testAuthority {
	t.Helper()
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: now.Add(-time.Hour), NotAfter: now.AddDate(100, 0, 0), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	cert, _ := x509.ParseCertificate(der)
	return &testAuthority{cert: cert, key: key, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// issue writes a certificate for 127.0.0.1 to the folder and returns its files.
func (a *testAuthority) issue(t *testing.T, folder string, notAfter time.Time) CertificateFiles {
	t.Helper()
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), NotBefore: now.Add(-time.Hour), NotAfter: notAfter,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, key.Public(), a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, _ := x509.MarshalECPrivateKey(key)
	f := CertificateFiles{
		Certificate: filepath.Join(folder, "cert.pem"),
		PrivateKey:  filepath.Join(folder, "key.pem"),
		Authority:   filepath.Join(folder, "ca.pem"),
	}
	write(t, f.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	write(t, f.PrivateKey, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}))
	write(t, f.Authority, a.pem)
	return f
}

func write(t *testing.T, path string, data []byte) {
	t.Helper()
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

func load(t *testing.T, f CertificateFiles) *Certificates {
	t.Helper()
	c, err := LoadCertificates(f, now)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// handshake performs a TLS handshake between a client and a server and returns both errors.
func handshake(server, client *tls.Config) (serverErr, clientErr error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err, err
	}
	defer l.Close()
	done := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			done <- err
			return
		}
		defer c.Close()
		done <- tls.Server(c, server).Handshake()
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		return err, err
	}
	defer c.Close()
	clientErr = tls.Client(c, client).Handshake()
	if clientErr != nil {
		c.Close()
	}
	return <-done, clientErr
}

func TestInstancesWithSameAuthorityConnect(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	server, client := load(t, a.issue(t, t.TempDir(), now.AddDate(90, 0, 0))), load(t, a.issue(t, t.TempDir(), now.AddDate(90, 0, 0)))
	serverErr, clientErr := handshake(server.ServerConfig(true), client.ClientConfig("127.0.0.1"))
	is.NoErr(serverErr)
	is.NoErr(clientErr)
}

func TestPeersOfAnotherAuthorityAreRejected(t *testing.T) {
	is := is.New(t)
	authority, otherAuthority := newAuthority(t), newAuthority(t)
	server := load(t, authority.issue(t, t.TempDir(), now.AddDate(90, 0, 0)))
	otherPeer := load(t, otherAuthority.issue(t, t.TempDir(), now.AddDate(90, 0, 0)))

	_, err := handshake(server.ServerConfig(true), otherPeer.ClientConfig("127.0.0.1"))
	is.True(err != nil) // a server of another authority

	cfg := otherPeer.ClientConfig("127.0.0.1")
	cfg.RootCAs = server.ClientConfig("").RootCAs
	serverErr, _ := handshake(server.ServerConfig(true), cfg)
	is.True(serverErr != nil) // a client of another authority

	cfg.Certificates = nil
	serverErr, _ = handshake(server.ServerConfig(true), cfg)
	is.True(serverErr != nil) // a client without a certificate

	_, err = handshake(server.ServerConfig(true), server.ClientConfig("127.0.0.2"))
	is.True(err != nil) // a certificate for another address
}

func TestFailedReloadReportsErrorAndKeepsCertificate(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	folder := t.TempDir()
	f := a.issue(t, folder, now.AddDate(90, 0, 0))
	c := load(t, f)
	old := c.cert.Leaf.SerialNumber

	touch := func(age time.Duration) {
		is.NoErr(os.Chtimes(f.Certificate, now.Add(age), now.AddDate(1, 0, 0).Add(age)))
	}
	a.issue(t, folder, now.Add(-time.Minute))
	touch(time.Hour)
	_, err := c.Reload(now)
	is.True(errors.Is(err, ErrExpired))
	is.Equal(c.cert.Leaf.SerialNumber, old)

	write(t, f.Certificate, []byte("not a certificate"))
	touch(2 * time.Hour)
	_, err = c.Reload(now)
	is.True(err != nil)
	is.Equal(c.cert.Leaf.SerialNumber, old)

	a.issue(t, folder, now.AddDate(80, 0, 0))
	touch(3 * time.Hour)
	changed, err := c.Reload(now)
	is.NoErr(err)
	is.True(changed)
	is.True(c.cert.Leaf.SerialNumber.Cmp(old) != 0)

	is.NoErr(os.Remove(f.PrivateKey))
	_, err = c.Reload(now)
	is.True(errors.Is(err, os.ErrNotExist))
}

func TestOperatorKeys(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "keys")
	write(t, path, []byte("# operators\nana 0123456789abcdef\n\nbo fedcba9876543210\n"))
	o, err := LoadOperators(path)
	is.NoErr(err)
	name, ok := o.Check("fedcba9876543210")
	is.True(ok)
	is.Equal(name, "bo")
	_, ok = o.Check("wrong")
	is.True(!ok)
	_, ok = o.Check("")
	is.True(!ok)

	for _, bad := range []string{"", "ana short", "ana"} {
		write(t, path, []byte(bad))
		_, err := LoadOperators(path)
		is.True(err != nil)
		is.True(!strings.Contains(err.Error(), "short")) // no key in an error
	}
}
