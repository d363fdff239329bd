// Package answers reads the HTTP/1.1 answers of backend servers. Parsers of general use accept more than HTTP allows and
// repair some of it, so that callers would get answers that no server has meant.
package answers

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
)

const (
	// MaxAnswers bounds the answers read for one request, including skipped ones, but without interim
	// answers.
	MaxAnswers = 4
	// maxInterimAnswers bounds the interim answers (status 1xx) read for one request.
	maxInterimAnswers = 64
)

// Reader reads the answers that a backend server sends on one connection. What it reads beside the bodies of answers
// is bounded. It is not safe for concurrent use.
type Reader struct {
	reader *bufio.Reader
	bounds *boundedReader // that reader reads from
}

// NewReader returns a reader with a buffer of size bytes.
func NewReader(conn io.Reader, size int) *Reader {
	bounds := &boundedReader{conn: conn}
	return &Reader{reader: bufio.NewReaderSize(bounds, size), bounds: bounds}
}

// Buffered returns the number of bytes that have arrived and belong to no answer yet.
func (r *Reader) Buffered() int { return r.reader.Buffered() }

// Read returns the answer to a request once its head has arrived. It skips interim answers, and answers to other requests
// if isAnswer is not nil. For bytes that are no answer, IsMalformed is true of the error.
func (r *Reader) Read(method string, isAnswer func(status int, h http.Header) bool) (*http.Response, error) {
	r.bounds.boundHeads()
	defer r.bounds.unbound()
	interim := 0
	maySkip := int64(maxSkippedBytes)
	for range MaxAnswers {
		resp, err := r.readHead(method)
		for ; err == nil && isInterim(resp); interim++ {
			if interim == maxInterimAnswers {
				return nil, ErrOnlyInterim
			}
			resp, err = r.readHead(method)
		}
		if err != nil {
			return nil, err
		}
		if isAnswer == nil || isAnswer(resp.StatusCode, resp.Header) {
			resp.Body = &trailedBody{resp.Body, resp}
			return resp, nil
		}
		r.bounds.unbound()
		n, err := skipBody(resp.Body, maySkip)
		if err != nil {
			return nil, err
		}
		maySkip -= n
		r.bounds.rebound()
	}
	return nil, ErrOnlyOthers
}

// readHead reads the head of one answer.
func (r *Reader) readHead(method string) (*http.Response, error) {
	if err := checkPrefix(r.reader); err != nil {
		return nil, err
	}
	version, err := r.reader.Peek(len(http10))
	if err != nil {
		return nil, err
	}
	isHTTP10 := string(version) == http10
	if isHTTP10 {
		arrived, _ := r.reader.Peek(r.reader.Buffered()) // that many can't fail
		r.bounds.record(arrived)
	}
	resp, err := http.ReadResponse(r.reader, &http.Request{Method: method})
	if err == nil {
		err = checkHead(resp)
	}
	if isHTTP10 {
		if head := r.bounds.stopRecording(); err == nil {
			err = checkHTTP10Head(head)
		}
	}
	if err != nil && !errors.Is(err, ErrHeadTooLong) && !IsEndOfConnection(err) {
		return nil, errors.Join(ErrNotHTTP, err)
	}
	return resp, err
}

// IsEndOfConnection reports whether a read failed since the connection has ended or timed out.
func IsEndOfConnection(err error) bool {
	var ne net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &ne)
}

func isInterim(resp *http.Response) bool { return resp.StatusCode >= 100 && resp.StatusCode < 200 }
