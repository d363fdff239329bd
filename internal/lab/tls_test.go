package lab

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/operator"
	"github.com/matryer/is"
)

// certificateAuthority issues the TLS certificates of a lab's instances.
type certificateAuthority struct {
	folder string
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
}

func newCertificateAuthority(t *testing.T) *certificateAuthority {
	t.Helper()
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "lab"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().AddDate(1, 0, 0), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	cert, _ := x509.ParseCertificate(der)
	ca := &certificateAuthority{folder: t.TempDir(), cert: cert, key: key}
	ca.write(t, "ca.pem", "CERTIFICATE", der)
	return ca
}

func (ca *certificateAuthority) write(t *testing.T, name, kind string, der []byte) {
	t.Helper()
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(filepath.Join(ca.folder, name), data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// issue writes a certificate for the instance and returns the settings that use it.
func (ca *certificateAuthority) issue(t *testing.T, i *Instance) string {
	t.Helper()
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().AddDate(1, 0, 0),
		IPAddresses: []net.IP{net.ParseIP(i.IP)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, ca.cert, key.Public(), ca.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, _ := x509.MarshalECPrivateKey(key)
	ca.write(t, i.Name+".pem", "CERTIFICATE", der)
	ca.write(t, i.Name+".key", "EC PRIVATE KEY", keyDER)
	return fmt.Sprintf("[operators]\nkey_file = %[1]s/keys\n[tls]\ninstances = true\noperators = true\ncertificate = %[1]s/%[2]s.pem\nprivate_key = %[1]s/%[2]s.key\nauthority = %[1]s/ca.pem\n", ca.folder, i.Name)
}

func TestBookingsWithTLSAndOperatorKeys(t *testing.T) {
	is := is.New(t)
	ca := newCertificateAuthority(t)
	const key = "0123456789abcdef"
	is.NoErr(os.WriteFile(filepath.Join(ca.folder, "keys"), []byte("ana "+key+"\n"), 0o600))
	pool := x509.NewCertPool()
	pool.AddCert(ca.cert)

	layout := testLayout(t)
	layout.Credentials = operator.Credentials{Key: key, Authority: pool}
	layout.ExtraSettings = func(i *Instance) string { return ca.issue(t, i) }
	l := startLayout(t, layout)

	r := runBookings(l, 1, "colombo-2", "kandy-1")
	is.Equal(r.Violations, nil)
	is.Equal(r.Booked, 20)

	_, err := operator.NewClientWithCredentials(l.Instances[0].OperatorAddress(), operator.Credentials{Authority: pool}).Status()
	is.True(err != nil) // no key
	_, err = operator.NewClientWithCredentials(l.Instances[0].OperatorAddress(), operator.Credentials{Authority: pool, Key: "fedcba9876543210"}).Status()
	is.True(err != nil) // unknown key
	_, err = operator.NewClientWithCredentials(l.Instances[0].OperatorAddress(), operator.Credentials{Key: key}).Status()
	is.True(err != nil) // no TLS
}
