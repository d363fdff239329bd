package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/balsamlb/balsamlb/keys"
	"github.com/balsamlb/balsamlb/operator"
	"github.com/balsamlb/balsamlb/settings"
	"github.com/go-logr/logr"
)

// secretsReloadInterval is how often the files of keys and certificates are checked for changes.
const secretsReloadInterval = 5 * time.Second

// secrets are the keys and certificates of an instance.
type secrets struct {
	tls       settings.TLS
	certs     *keys.Certificates // nil if TLS is not used
	operators *keys.Operators    // nil if operators' calls need no key
}

func loadSecrets(p settings.Process) (*secrets, error) {
	s := &secrets{tls: p.TLS}
	if p.TLS.Instances || p.TLS.Operators {
		files := keys.CertificateFiles{Certificate: p.TLS.Certificate, PrivateKey: p.TLS.PrivateKey, Authority: p.TLS.Authority}
		certs, err := keys.LoadCertificates(files, time.Now())
		if err != nil {
			return nil, err
		}
		s.certs = certs
	}
	if p.OperatorKeys != "" {
		operators, err := keys.LoadOperators(p.OperatorKeys)
		if err != nil {
			return nil, err
		}
		s.operators = operators
	}
	return s, nil
}

// instanceCertificates returns the certificates used between instances, or nil if instances don't
// use TLS between them.
func (s *secrets) instanceCertificates() *keys.Certificates {
	if !s.tls.Instances {
		return nil
	}
	return s.certs
}

func (s *secrets) instanceListener(l net.Listener) net.Listener {
	if !s.tls.Instances {
		return l
	}
	return tls.NewListener(l, s.certs.ServerConfig(true))
}

func (s *secrets) operatorListener(l net.Listener) net.Listener {
	if !s.tls.Operators {
		return l
	}
	return tls.NewListener(l, s.certs.ServerConfig(false))
}

// operatorKeys returns what checks operators' keys, or a nil interface if operators' calls need no
// key.
func (s *secrets) operatorKeys() operator.Keys {
	if s.operators == nil {
		return nil
	}
	return s.operators
}

// run reloads the files that have changed at every secretsReloadInterval, until ctx ends.
func (s *secrets) run(ctx context.Context, log logr.Logger) error {
	ticker := time.NewTicker(secretsReloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.reload(log)
		}
	}
}

func (s *secrets) reload(log logr.Logger) {
	if s.certs != nil {
		changed, err := s.certs.Reload(time.Now())
		logReload(log, "certificate", changed, err)
	}
	if s.operators != nil {
		changed, err := s.operators.Reload()
		logReload(log, "operators' keys", changed, err)
	}
}

func logReload(log logr.Logger, what string, changed bool, err error) {
	if err != nil {
		log.Error(err, "could not load a changed file; keeping the previous one", "what", what)
		return
	}
	if changed {
		log.Info("loaded a changed file", "what", what)
	}
}
