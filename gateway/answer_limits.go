package gateway

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/balsamlb/balsamlb/internal/answers"
	"github.com/balsamlb/balsamlb/internal/connguard"
)

const (
	// maxBufferedResponse is the size in bytes up to which a response is buffered before it is written.
	// If the server fails while the response is still being buffered, the caller can get an error status.
	maxBufferedResponse = 256 << 10
	// bufferStep is the size in bytes by which a buffer grows.
	bufferStep = 16 << 10
	// bufferGrowth is the memory of a buffer for each byte in it, since it grows by doubling.
	bufferGrowth = 2
	// maxBufferedTogether bounds the buffered bytes of all responses. A response that gets no more
	// buffer is written as it arrives.
	maxBufferedTogether = 24 << 20
	// maxTokenBytes bounds the size of a token in a stream, with the markup of its event.
	maxTokenBytes = 4 << 10
	// extraTokens is the number of tokens by which a stream may exceed the answer that the request
	// allows, for events without a token.
	extraTokens = 64
	// malformedFor is how long a server gets no new drafts after it sent bytes that are no answer.
	malformedFor = time.Second
)

// errAnswerTooLong is returned for an answer that is longer than any that the request allows.
var errAnswerTooLong = errors.New("gateway: the answer is too long")

// isMalformed reports whether a server sent bytes that are no answer, or too many of them.
func isMalformed(err error) bool {
	return answers.IsMalformed(err) || errors.Is(err, errAnswerTooLong) || errors.Is(err, errEventTooLong)
}

// markMalformed keeps new drafts from a server for a time if it sent bytes that are no answer.
func (g *Gateway) markMalformed(id string, err error) {
	if !isMalformed(err) {
		return
	}
	g.options.Log.Info("a backend server sent bytes that are no answer", "server", id, "reason", err.Error())
	g.faults.markRefusing(time.Now(), id, malformedFor)
}

// maxAnswerBytes returns the largest size of the answer to a request.
func (g *Gateway) maxAnswerBytes(j *job) int64 {
	limit := g.options.MaxAnswerBytes
	if limit <= 0 {
		limit = DefaultMaxAnswerBytes
	}
	if tokens := int64(j.header.MaxAnswerTokens); tokens > 0 {
		limit = min(limit, (tokens+extraTokens)*maxTokenBytes)
	}
	return limit
}

// boundedAnswer reads an answer, and fails with errAnswerTooLong once it exceeds left bytes.
type boundedAnswer struct {
	io.Reader
	left int64
	// err is the error of the last Read, unless that was io.EOF.
	err error
}

func (r *boundedAnswer) Read(p []byte) (int, error) {
	n, err := r.read(p)
	if r.err = err; err == io.EOF {
		r.err = nil
	}
	return n, err
}

func (r *boundedAnswer) read(p []byte) (int, error) {
	if r.left < 0 {
		return 0, errAnswerTooLong
	}
	n, err := r.Reader.Read(p)
	if r.left -= int64(n); r.left < 0 {
		return 0, errAnswerTooLong
	}
	return n, err
}

// responseBuffers bounds the memory of all buffered responses. It is safe for concurrent use.
type responseBuffers struct{ used atomic.Int64 }

// buffer reads a response until it ends, or exceeds maxBufferedResponse, or no more memory is left. It
// returns what it has read, and whether the response has ended. release frees the memory.
func (b *responseBuffers) buffer(conn *connguard.Conn, r io.Reader) (buffered []byte, isWhole bool, release func(), err error) {
	taken := int64(0)
	release = func() {
		b.used.Add(-taken)
		conn.Shrink(bufferGrowth * taken)
	}
	var out bytes.Buffer
	for out.Len() < maxBufferedResponse && b.take(conn) {
		taken += bufferStep
		_, err := io.CopyN(&out, r, bufferStep)
		if errors.Is(err, io.EOF) {
			return out.Bytes(), true, release, nil
		}
		if err != nil {
			return nil, false, release, err
		}
	}
	return out.Bytes(), false, release, nil
}

// take takes the memory of one step, if there is any.
func (b *responseBuffers) take(conn *connguard.Conn) bool {
	if b.used.Add(bufferStep) <= maxBufferedTogether && conn.Grow(bufferGrowth*bufferStep) {
		return true
	}
	b.used.Add(-bufferStep)
	return false
}
