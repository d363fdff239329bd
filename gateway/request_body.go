package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

const (
	// defaultBodyBytes bounds a request body if the routing document states no limit.
	defaultBodyBytes = 4 << 20
	// bodyStep is the size in bytes by which the memory of a body grows.
	bodyStep = 16 << 10
	// bodiesRetry is the Retry-After delay if the bodies of other requests take all memory: several
	// times the usual service time of a plain request.
	bodiesRetry = 250 * time.Millisecond
)

var errNoBodyMemory = errors.New("gateway: the bodies of other requests take all memory")

// requestBodies bounds the memory of the bodies of all requests. It is safe for concurrent use.
type requestBodies struct {
	// limit is in bytes; 0 means no bound.
	limit int64
	used  atomic.Int64
}

// take takes memory for the body of a request, if there is any.
func (b *requestBodies) take(j *job, n int64) bool {
	if b.used.Add(n) > b.limit && b.limit > 0 {
		b.used.Add(-n)
		return false
	}
	j.bodyMemory += n
	return true
}

// release frees the memory of a request that has ended.
func (b *requestBodies) release(j *job) { b.giveBack(j, j.bodyMemory) }

// readBody reads the body of a request, of at most limit bytes, until its deadline.
func (g *Gateway) readBody(w http.ResponseWriter, j *job, limit int) *refusal {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	r := j.request
	j.hasBody = r.ContentLength != 0 || len(r.TransferEncoding) > 0 || r.Header.Get("Content-Length") != ""
	if !j.hasBody {
		return nil
	}
	if r.ContentLength > int64(limit) {
		return &refusal{http.StatusRequestEntityTooLarge, "the body is larger than the limit", 0}
	}
	// A writer that supports no deadlines belongs to no connection.
	connection := http.NewResponseController(w)
	_ = connection.SetReadDeadline(j.deadline)
	body, err := g.bodies.read(j, http.MaxBytesReader(w, r.Body, int64(limit)))
	if err != nil {
		// The rest of the body is not read, and the deadline ends what the server reads of it.
		w.Header().Set("Connection", "close")
	} else {
		// Reads that wait for the caller to leave have no deadline.
		_ = connection.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &refusal{http.StatusRequestEntityTooLarge, "the body is larger than the limit", 0}
	case errors.Is(err, errNoBodyMemory):
		return &refusal{http.StatusServiceUnavailable, err.Error(), bodiesRetry}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{http.StatusRequestTimeout, "the body did not arrive in time", 0}
	case err != nil:
		return &refusal{http.StatusBadRequest, "the body could not be read", 0}
	}
	j.body = body
	return nil
}

// giveBack frees memory that was taken for the body of a request.
func (b *requestBodies) giveBack(j *job, n int64) {
	b.used.Add(-n)
	j.bodyMemory -= n
}

// read reads a body. It takes memory for what has arrived, not for what a caller announces.
func (b *requestBodies) read(j *job, body io.Reader) ([]byte, error) {
	var buffer bytes.Buffer
	for {
		if !b.take(j, bodyStep) {
			return nil, errNoBodyMemory
		}
		n, err := io.CopyN(&buffer, body, bodyStep)
		b.giveBack(j, bodyStep-n)
		switch {
		case errors.Is(err, io.EOF):
			return buffer.Bytes(), nil
		case err != nil:
			return nil, err
		}
	}
}
