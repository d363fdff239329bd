// Package keys loads the keys of operators and the TLS certificates of an instance, and reloads
// them when their files change. It never logs a key or includes one in an error.
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

// ErrExpired means that a certificate has expired or is not valid yet.
var ErrExpired = errors.New("keys: the certificate is not valid at this time")

// CertificateFiles are the PEM files of an instance's certificate.
type CertificateFiles struct {
	Certificate string
	PrivateKey  string
	// Authority contains the CA certificates that sign the certificates of the other instances.
	Authority string
}

// Certificates holds a certificate and an authority. Both can be replaced while connections are
// open, and new connections use the new ones.
type Certificates struct {
	files CertificateFiles

	mu       sync.Mutex
	cert     tls.Certificate
	pool     *x509.CertPool
	modified time.Time
}

// LoadCertificates loads the files. It fails if the private key does not match the certificate or
// the certificate is not valid at the time now.
func LoadCertificates(f CertificateFiles, now time.Time) (*Certificates, error) {
	c := &Certificates{files: f}
	if _, err := c.Reload(now); err != nil {
		return nil, err
	}
	return c, nil
}

// Reload reloads the files if one was modified, and reports whether it did. After an error the old
// certificate and authority remain in use.
func (c *Certificates) Reload(now time.Time) (bool, error) {
	modified, err := latestModTime(c.files.Certificate, c.files.PrivateKey, c.files.Authority)
	if err != nil {
		return false, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !modified.After(c.modified) {
		return false, nil
	}
	cert, err := loadCertificate(c.files, now)
	if err != nil {
		return false, err
	}
	pool, err := loadAuthority(c.files.Authority)
	if err != nil {
		return false, err
	}
	c.cert = cert
	c.pool = pool
	c.modified = modified
	return true, nil
}

func loadCertificate(f CertificateFiles, now time.Time) (tls.Certificate, error) {
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

func loadAuthority(path string) (*x509.CertPool, error) {
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

func latestModTime(paths ...string) (time.Time, error) {
	var latest time.Time
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return latest, eris.Wrap(err, "keys: stat file")
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}

// ServerConfig returns the TLS configuration of a listener. If mutual is set, clients must present
// a certificate signed by the authority.
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

// ClientConfig returns the TLS configuration of a connection to the host, which must present a
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
