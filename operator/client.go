package operator

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"time"

	"github.com/balsamlb/balsamlb/config"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// clientTimeout bounds the read and, separately, the write of one call.
const clientTimeout = 15 * time.Second

// Credentials hold the key that a client sends and the CA that it trusts. The zero value means
// plain HTTP without a key.
type Credentials struct {
	// Key is the operator's key, or "" for none.
	Key string
	// Authority holds the CA that signs the certificates of instances; nil disables TLS.
	Authority *x509.CertPool
}

// Client calls the operator API of one instance. It is safe for concurrent use. Its methods fail
// when the instance can't be reached, does not respond within clientTimeout or responds with an
// error.
type Client struct {
	address     string
	credentials Credentials
	http        *fasthttp.Client
}

// NewClient returns a client for the address over plain HTTP without a key.
func NewClient(address string) *Client { return NewClientWithCredentials(address, Credentials{}) }

// NewClientWithCredentials returns a client for the address that uses the credentials.
func NewClientWithCredentials(address string, credentials Credentials) *Client {
	return &Client{address: address, credentials: credentials, http: &fasthttp.Client{
		TLSConfig:                 &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: credentials.Authority},
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		ReadTimeout:               clientTimeout,
		WriteTimeout:              clientTimeout,
	}}
}

// Status returns the status of the instance.
func (c *Client) Status() (Status, error) {
	var s Status
	_, err := c.call(fasthttp.MethodGet, PathStatus, nil, &s)
	return s, err
}

// Config returns the configuration that is in force at the instance.
func (c *Client) Config() (config.Document, error) {
	var d config.Document
	_, err := c.call(fasthttp.MethodGet, PathConfig, nil, &d)
	return d, err
}

// Change proposes a configuration change. A conflict or an invalid configuration is reported in the
// reply, not as an error.
func (c *Client) Change(change config.Change) (ChangeReply, error) {
	var r ChangeReply
	_, err := c.call(fasthttp.MethodPost, PathConfig, change, &r)
	return r, err
}

// Drain starts or ends a drain.
func (c *Client) Drain(d DrainRequest) error {
	_, err := c.call(fasthttp.MethodPost, PathDrain, d, &d)
	return err
}

// Credits returns the credit counts of all members.
func (c *Client) Credits() ([]CreditCount, error) {
	var counts []CreditCount
	_, err := c.call(fasthttp.MethodGet, PathCredits, nil, &counts)
	return counts, err
}

func (c *Client) scheme() string {
	if c.credentials.Authority != nil {
		return "https://"
	}
	return "http://"
}

func (c *Client) call(method, path string, in, out any) (int, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(c.scheme() + c.address + path)
	if c.credentials.Key != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, bearerPrefix+c.credentials.Key)
	}
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return 0, eris.Wrap(err, "operator: encode request")
		}
		req.SetBody(body)
	}
	if err := c.http.Do(req, resp); err != nil {
		return 0, eris.Wrapf(err, "operator: call %s%s", c.address, path)
	}
	status := resp.StatusCode()
	if status >= fasthttp.StatusBadRequest && status != fasthttp.StatusConflict && status != fasthttp.StatusUnprocessableEntity {
		var e errorReply
		_ = json.Unmarshal(resp.Body(), &e)
		return status, eris.Errorf("operator: call %s%s: status %d: %s", c.address, path, status, e.Error)
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return status, eris.Wrapf(err, "operator: decode answer of %s%s", c.address, path)
	}
	return status, nil
}
