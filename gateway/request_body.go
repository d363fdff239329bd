package gateway

import (
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/balsamlb/balsamlb/internal/connguard"
)

const (
	// defaultBodyBytes bounds a request body if the routing document states no limit.
	defaultBodyBytes = 4 << 20
	// bodiesRetry is the Retry-After delay if there is no memory for a request: several
	// times the usual service time of a plain request.
	bodiesRetry = 250 * time.Millisecond

	// unreadBodyTime is how long the rest of the body of a refused request may take to arrive, so that the connection
	// can be used again.
	unreadBodyTime = 500 * time.Millisecond
)

// isBodyExpected reports whether a body belongs to the request.
func isBodyExpected(r *http.Request) bool {
	return r.ContentLength != 0 || len(r.TransferEncoding) > 0
}

// readBody reads the body of a request, of at most limit bytes, until its deadline.
func (g *Gateway) readBody(w http.ResponseWriter, j *job, limit int) *refusal {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	r := j.request
	j.hasBody = isBodyExpected(r) || r.Header.Get("Content-Length") != ""
	if !j.hasBody {
		return nil
	}
	if r.ContentLength > int64(limit) {
		return &refusal{http.StatusRequestEntityTooLarge, "the body is larger than the limit", 0}
	}
	// A writer that supports no deadlines belongs to no connection.
	connection := http.NewResponseController(w)
	_ = connection.SetReadDeadline(j.deadline)
	body, err := connguard.ReadWhole(j.conn, http.MaxBytesReader(w, r.Body, int64(limit)), r.ContentLength)
	if err == nil && isBodyExpected(r) && !j.conn.BeginWork() {
		err = connguard.ErrNoMemory
	}
	if err != nil {
		// The rest of the body is not read.
		w.Header().Set("Connection", "close")
	} else {
		// Reads that wait for the caller to leave have no deadline.
		_ = connection.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &refusal{http.StatusRequestEntityTooLarge, "the body is larger than the limit", 0}
	case errors.Is(err, connguard.ErrNoMemory):
		return &refusal{http.StatusServiceUnavailable, err.Error(), bodiesRetry}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{http.StatusRequestTimeout, "the body did not arrive in time", 0}
	case err != nil:
		return &refusal{http.StatusBadRequest, "the body could not be read", 0}
	}
	j.body = body
	return nil
}
