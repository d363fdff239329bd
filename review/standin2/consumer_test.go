//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// result is what a consumer has got for one request.
type result struct {
	id     string
	status int // 0 means that no answer came
	header http.Header
	body   string
	err    error
}

// requestCount numbers the requests of all consumers.
var requestCount atomic.Int64

// consumer sends requests to one gateway, one at a time, on a channel that it keeps. Each request is sent once.
type consumer struct {
	record  *record
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// do sends one request with its own ID and returns the answer.
func (c *consumer) do(method, path, key, body string, limit time.Duration, fields ...string) result {
	id := fmt.Sprintf("%016x", 0x9c410000+requestCount.Add(1))
	c.record.line("sent %s %s %s to %s", id, method, path, c.address)
	r := result{id: id}
	r.status, r.header, r.body, r.err = c.exchange(id, method, path, key, body, limit, fields)
	c.record.line("answered %s %d %q %v", id, r.status, r.body, r.err)
	return r
}

func (c *consumer) exchange(id, method, path, key, body string, limit time.Duration, fields []string) (int, http.Header, string, error) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return 0, nil, "", err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(limit + 500*time.Millisecond))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: %d\r\n", method, path, headerID, id, headerDeadline, limit.Milliseconds())
	if key != "" {
		fmt.Fprintf(&b, "Api-Key: %s\r\n", key)
	}
	for _, f := range fields {
		b.WriteString(f + "\r\n")
	}
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		c.close()
		return 0, nil, "", err
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.close()
		return 0, nil, "", err
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.Close {
		c.close()
	}
	return resp.StatusCode, resp.Header, string(text), err
}

func (c *consumer) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// isPromise reports whether a status promises that the request has not run and never will.
func isPromise(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout ||
		status == http.StatusMisdirectedRequest
}

// checkOnce checks the rules TWICE, REFUSED and MIXED for requests that are not idempotent.
func checkOnce(r *record, results []result, runs map[string]int) {
	for _, res := range results {
		n := runs[res.id]
		if n > 1 {
			r.breakRule("TWICE: %s, not idempotent, ran %d times; its answer was %d", res.id, n, res.status)
		}
		if isPromise(res.status) && n > 0 {
			r.breakRule("REFUSED: %s, not idempotent, was answered %d and ran %d times", res.id, res.status, n)
		}
		isSuccess := res.status >= 200 && res.status < 300 && res.err == nil
		if isSuccess && (res.header.Get(headerStamp) != "stamp."+res.id || !strings.HasPrefix(res.body, "done "+res.id+" ")) {
			r.breakRule("MIXED: %s got a success that is not its own: %q %q", res.id, res.header.Get(headerStamp), res.body)
		}
	}
}

// summarize records how many results had each status, and how many requests ran.
func summarize(r *record, what string, results []result, runs map[string]int) {
	statuses := make(map[int]int)
	ran := 0
	for _, res := range results {
		statuses[res.status]++
		if runs[res.id] > 0 {
			ran++
		}
	}
	r.line("%s: %d requests, %d ran, by status %v", what, len(results), ran, statuses)
}
