package instance

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/internal/meter"
	"github.com/balsamlb/balsamlb/keys"
	"github.com/matryer/is"
)

// newCertificates returns a certificate for 127.0.0.1 that is its own authority.
func newCertificates(t *testing.T) *keys.Certificates {
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, key.Public(), key)
	is.NoErr(err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	folder := t.TempDir()
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(folder, name)
		is.NoErr(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
		return path
	}
	certificate := write("cert.pem", "CERTIFICATE", der)
	files := keys.CertificateFiles{Certificate: certificate, PrivateKey: write("key.pem", "EC PRIVATE KEY", keyDER), Authority: certificate}
	certs, err := keys.LoadCertificates(files, time.Now())
	is.NoErr(err)
	return certs
}

// Pattern: after a restart a throttled control instance has the handshakes of all gateways to do. Guards against gateways
// that give theirs up while the peer's process is only late, and begin new ones, which makes it later.
func TestHandshakeWithALatePeerIsNotGivenUp(t *testing.T) {
	is := is.New(t)
	certs := newCertificates(t)
	l := listenLocal(t)
	accepted := make(chan struct{}, 10)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- struct{}{}
			time.Sleep(2 * dialTimeout)
			_ = tls.Server(c, certs.ServerConfig(true)).Handshake()
		}
	}()
	dialer, err := NewDialer("127.0.0.1:0", certs, &meter.Traffic{})
	is.NoErr(err)
	c, err := dialer.dial(t.Context(), l.Addr().String())
	is.NoErr(err)
	is.NoErr(c.Close())
	is.Equal(len(accepted), 1)
}

// Guards against a handshake that is never given up.
func TestHandshakeWithAPeerThatStandsStillEnds(t *testing.T) {
	is := is.New(t)
	dialer, err := NewDialer("127.0.0.1:0", newCertificates(t), &meter.Traffic{})
	is.NoErr(err)
	_, err = dialer.dial(t.Context(), listenLocal(t).Addr().String()) // only the kernel accepts the connection
	is.True(err != nil)
}
