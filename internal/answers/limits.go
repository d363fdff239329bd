package answers

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"slices"
)

var (
	// ErrHeadTooLong means that the heads that a server sent for one request, with those of interim
	// and skipped answers, exceed maxHeadBytes.
	ErrHeadTooLong = errors.New("answers: the heads of the answers are too long")
	// ErrNotHTTP means that a server sent bytes that are no HTTP answer.
	ErrNotHTTP = errors.New("answers: the server sent bytes that are no HTTP answer")
	// ErrSkippedTooLong means that the bodies of answers to other requests exceed maxSkippedBytes.
	ErrSkippedTooLong = errors.New("answers: the bodies of answers to other requests are too long")
	// ErrOnlyInterim means that a server sent more than maxInterimAnswers interim answers.
	ErrOnlyInterim = errors.New("answers: the server sent only interim answers")
	// ErrOnlyOthers means that a server sent maxAnswers answers to other requests.
	ErrOnlyOthers = errors.New("answers: the server sent only answers to other requests")
)

// malformed are the errors for which IsMalformed is true.
var malformed = []error{ErrHeadTooLong, ErrNotHTTP, ErrSkippedTooLong, ErrOnlyInterim, ErrOnlyOthers}

const (
	// maxHeadBytes bounds the heads read for one request: those of its answer, of interim answers and
	// of skipped answers together.
	maxHeadBytes = 64 << 10
	// maxSkippedBytes bounds the bodies of skipped answers read for one request.
	maxSkippedBytes = 256 << 10
)

// IsMalformed reports whether a request failed because the server sent bytes that are no answer, or
// too many of them. The server may have run the request.
func IsMalformed(err error) bool {
	return slices.ContainsFunc(malformed, func(m error) bool { return errors.Is(err, m) })
}

// boundedReader reads from a connection. While heads are read, it fails with ErrHeadTooLong once more
// than the allowed bytes were read, so that a head without end takes no more memory than that.
type boundedReader struct {
	conn io.Reader
	// left is the number of bytes that may still be read; it has no meaning unless isBounded is set.
	left      int
	isBounded bool
	// isRecording means that the bytes of heads are also kept in recorded.
	isRecording bool
	recorded    []byte
}

func (r *boundedReader) Read(p []byte) (int, error) {
	if !r.isBounded {
		return r.conn.Read(p)
	}
	if r.left <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err := r.conn.Read(p[:min(len(p), r.left)])
	r.left -= n
	if r.isRecording {
		r.recorded = append(r.recorded, p[:n]...)
	}
	return n, err
}

// record keeps the bytes that have arrived and those that are read from now on.
func (r *boundedReader) record(arrived []byte) {
	r.isRecording, r.recorded = true, bytes.Clone(arrived)
}

// stopRecording returns what was kept.
func (r *boundedReader) stopRecording() []byte {
	recorded := r.recorded
	r.isRecording, r.recorded = false, nil
	return recorded
}

// boundHeads starts the reading of the heads for one request.
func (r *boundedReader) boundHeads() { r.isBounded, r.left = true, maxHeadBytes }

// unbound ends the bound, before a body is read. The bytes of the body don't count as those of heads.
func (r *boundedReader) unbound() { r.isBounded = false }

// rebound continues the bound after a skipped body.
func (r *boundedReader) rebound() { r.isBounded = true }

var answerPrefix = []byte("HTTP/1.")

// checkPrefix returns ErrNotHTTP if the next bytes don't begin an HTTP answer. It waits for no more
// bytes than are needed to tell.
func checkPrefix(r *bufio.Reader) error {
	for n := 1; n <= len(answerPrefix); n++ {
		begin, err := r.Peek(n)
		if err != nil {
			return err
		}
		if !bytes.HasPrefix(answerPrefix, begin) {
			return ErrNotHTTP
		}
	}
	return nil
}

// skipBody reads the body of an answer to another request. It returns the number of bytes read, at most
// limit, and ErrSkippedTooLong if the body doesn't end within it.
func skipBody(body io.Reader, limit int64) (int64, error) {
	n, err := io.CopyN(io.Discard, body, limit+1)
	switch {
	case err == nil:
		return n, ErrSkippedTooLong
	case errors.Is(err, io.EOF):
		return n, nil
	}
	return n, err
}
