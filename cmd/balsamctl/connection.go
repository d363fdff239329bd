package main

import (
	"crypto/x509"
	"flag"
	"os"
	"strings"

	"github.com/balsamlb/balsamlb/operator"
	"github.com/rotisserie/eris"
)

// connectionFlags are the flags with which a command connects to an instance.
type connectionFlags struct {
	instance  *string
	keyFile   *string
	authority *string
}

// addConnectionFlags adds the flags of every command that calls an instance.
func addConnectionFlags(fs *flag.FlagSet) connectionFlags {
	return connectionFlags{
		instance:  fs.String("instance", "127.0.1.1:8082", "operators' address of an instance"),
		keyFile:   fs.String("key-file", "", "file that holds the operator's key (empty: none)"),
		authority: fs.String("authority", "", "PEM file that signs the instances' certificates (empty: no TLS)"),
	}
}

// client returns a client for the instance that the flags name. It does not connect yet.
func (f connectionFlags) client() (*operator.Client, error) {
	var credentials operator.Credentials
	if *f.keyFile != "" {
		data, err := os.ReadFile(*f.keyFile)
		if err != nil {
			return nil, eris.Wrap(err, "read the operator's key")
		}
		credentials.Key = strings.TrimSpace(string(data))
	}
	if *f.authority != "" {
		data, err := os.ReadFile(*f.authority)
		if err != nil {
			return nil, eris.Wrap(err, "read the authority's certificates")
		}
		credentials.Authority = x509.NewCertPool()
		if !credentials.Authority.AppendCertsFromPEM(data) {
			return nil, eris.Errorf("no certificate in %s", *f.authority)
		}
	}
	return operator.NewClientWithCredentials(*f.instance, credentials), nil
}
