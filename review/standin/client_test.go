//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

const (
	hostName = "ficu95.example"
	apiKey   = "n2ctnfzs989anu6wsjnb"
)

// plainConfig is a configuration with a plain service and two routes to it, for bookings and look-ups, and
// with another plain service.
func plainConfig(version int, timeoutMS int) map[string]any {
	service := func(name string) map[string]any {
		return map[string]any{"Name": name, "HealthPath": "/health", "MaxConns": 100, "Protocol": "h1", "Tls": false}
	}
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"Name": name, "Hostname": hostName, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeoutMS, "TargetLatencyMs": 300, "Priority": 2,
			"Service": "desk", "MaxAttempts": attempts, "AllowAnonymous": false, "Sticky": false, "CanResume": false,
		}
	}
	return map[string]any{
		"Version":  version,
		"Routes":   []any{route("hold", "/hold/", "non_idempotent", 1), route("check", "/check/", "idempotent", 2)},
		"Services": []any{service("desk"), service("guide")},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []any{map[string]any{"Name": "hule930", "ApiKeys": []any{apiKey}, "Priority": 1}},
	}
}

// answer is what a client has got for one attempt.
type answer struct {
	id     string
	sent   time.Time
	status int // 0: no complete answer
	body   string
	header http.Header
	err    error
}

// client sends requests to one gateway on kept channels.
type client struct {
	gateway *process
	http    *http.Client
}

func newClient(g *process) *client {
	return &client{gateway: g, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 12 * time.Second}}}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one attempt and reads its whole answer.
func (c *client) send(method, path string, body []byte, deadline time.Duration) answer {
	a := answer{id: newID(), sent: time.Now()}
	req, err := http.NewRequest(method, "http://"+c.gateway.address(portCallers)+path, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = hostName
	req.GetBody = nil // no attempt is sent twice by the transport
	req.Header.Set("Balsamlb-Request-Id", a.id)
	req.Header.Set("Balsamlb-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set("Api-Key", apiKey)
	c.gateway.d.record.printf("client sends %s %s %s to %s", a.id, method, path, c.gateway.name)
	resp, err := c.http.Do(req)
	if err == nil {
		defer resp.Body.Close()
		text, readErr := io.ReadAll(resp.Body)
		a.body, a.header = string(text), resp.Header
		if err = readErr; err == nil {
			a.status = resp.StatusCode
		}
	}
	a.err = err
	c.gateway.d.record.printf("client gets for %s: %d %q %v after %d ms", a.id, a.status, a.body, err, time.Since(a.sent).Milliseconds())
	return a
}
