package main

import (
	"crypto/x509"
	"flag"
	"os"
	"strings"

	"github.com/balsamlb/balsamlb/operator"
	"github.com/rotisserie/eris"
)

// access is how a command reaches an instance.
type access struct {
	instance  *string
	keyFile   *string
	authority *string
}

// addAccess adds the flags that all commands to an instance have.
func addAccess(fs *flag.FlagSet) access {
	return access{
		instance:  fs.String("instance", "127.0.1.1:8082", "operators' address of an instance"),
		keyFile:   fs.String("key-file", "", "file that holds the operator's key (empty: none)"),
		authority: fs.String("authority", "", "PEM file that signs the instances' certificates (empty: no TLS)"),
	}
}

// client returns a client for the instance.
func (a access) client() (*operator.Client, error) {
	var with operator.Credentials
	if *a.keyFile != "" {
		data, err := os.ReadFile(*a.keyFile)
		if err != nil {
			return nil, eris.Wrap(err, "read the operator's key")
		}
		with.Key = strings.TrimSpace(string(data))
	}
	if *a.authority != "" {
		data, err := os.ReadFile(*a.authority)
		if err != nil {
			return nil, eris.Wrap(err, "read the authority")
		}
		with.Authority = x509.NewCertPool()
		if !with.Authority.AppendCertsFromPEM(data) {
			return nil, eris.Errorf("no certificate in %s", *a.authority)
		}
	}
	return operator.NewClientWithCredentials(*a.instance, with), nil
}
