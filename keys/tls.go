// Package keys loads the keys of operators and the TLS certificates of an instance, and
// reloads them when their files change. It never logs or returns a key.
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ErrExpired means that a certificate's time is over, or has not begun.
var ErrExpired = errors.New("keys: the certificate is not valid at this time")

// CertificateFiles are the PEM files of an instance's certificate.
type CertificateFiles struct {
	Certificate string
	PrivateKey  string
	// Authority holds the certificates that sign those of the other instances.
	Authority string
}

// Certificates holds a certificate and an authority that can be replaced while connections
// are open; new connections use the new ones.
type Certificates struct {
	files CertificateFiles

	mu       sync.Mutex
	cert     tls.Certificate
	pool     *x509.CertPool
	modified time.Time
}

// LoadCertificates reads the files and checks that they fit together at the time now.
func LoadCertificates(f CertificateFiles, now time.Time) (*Certificates, error) {
	c := &Certificates{files: f}
	if _, err := c.Reload(now); err != nil {
		return nil, err
	}
	return c, nil
}

// Reload reads the files again if one has changed since, and reports whether it did. After
// an error the old certificate stays in use.
func (c *Certificates) Reload(now time.Time) (bool, error) {
	modified, err := newest(c.files.Certificate, c.files.PrivateKey, c.files.Authority)
	if err != nil {
		return false, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !modified.After(c.modified) {
		return false, nil
	}
	cert, err := loadPair(c.files, now)
	if err != nil {
		return false, err
	}
	pool, err := loadPool(c.files.Authority)
	if err != nil {
		return false, err
	}
	c.cert = cert
	c.pool = pool
	c.modified = modified
	return true, nil
}

func loadPair(f CertificateFiles, now time.Time) (tls.Certificate, error) {
	cert, err := tls.LoadX509KeyPair(f.Certificate, f.PrivateKey)
	if err != nil {
		return cert, eris.Wrapf(err, "keys: load certificate %s with its key %s", f.Certificate, f.PrivateKey)
	}
	if now.Before(cert.Leaf.NotBefore) || now.After(cert.Leaf.NotAfter) {
		return cert, eris.Wrapf(ErrExpired, "keys: load certificate %s (valid from %s to %s)", f.Certificate,
			cert.Leaf.NotBefore.Format(time.RFC3339), cert.Leaf.NotAfter.Format(time.RFC3339))
	}
	return cert, nil
}

func loadPool(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrapf(err, "keys: read authority %s", path)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, eris.Errorf("keys: no certificate in authority %s", path)
	}
	return pool, nil
}

func newest(paths ...string) (time.Time, error) {
	var latest time.Time
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return latest, eris.Wrap(err, "keys: look at file")
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}

// ServerConfig returns the configuration of a listener. With mutual set, a client must show a
// certificate that the authority has signed.
func (c *Certificates) ServerConfig(mutual bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := c.current()
			cfg := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}}
			if mutual {
				cfg.ClientAuth = tls.RequireAndVerifyClientCert
				cfg.ClientCAs = pool
			}
			return cfg, nil
		},
	}
}

// ClientConfig returns the configuration of a connection to the host, which must show a
// certificate for that host signed by the authority.
func (c *Certificates) ClientConfig(host string) *tls.Config {
	cert, pool := c.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		ServerName:   host,
		RootCAs:      pool,
		Certificates: []tls.Certificate{cert},
	}
}

func (c *Certificates) current() (tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cert, c.pool
}
