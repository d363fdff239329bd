package answers

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// checkHead rejects heads that http.ReadResponse accepts though HTTP doesn't allow them.
func checkHead(resp *http.Response) error {
	if resp.StatusCode < http.StatusContinue {
		return fmt.Errorf("status %q is below %d", resp.Status, http.StatusContinue)
	}
	if strings.ContainsFunc(resp.Status, isControl) {
		return fmt.Errorf("status line with a control byte: %q", resp.Status)
	}
	return checkNames(resp.Header)
}

// CheckFinal returns an error unless the status and the header can be those of a final answer. It is for heads that didn't
// arrive over HTTP; a Reader has checked its own.
func CheckFinal(status int, h http.Header) error {
	if status < http.StatusOK || status > maxStatus {
		return fmt.Errorf("status %d is no final one", status)
	}
	return checkNames(h)
}

// maxStatus is the largest status of three digits. HTTP defines those up to 599; larger ones count as failures.
const maxStatus = 999

// checkNames returns an error for a field name with a blank, the only invalid byte that net/textproto lets pass. The field may
// be one that frames the body, such as "Content-Length ".
func checkNames(h http.Header) error {
	for name := range h {
		if strings.Contains(name, " ") {
			return fmt.Errorf("field name with a blank: %q", name)
		}
	}
	return nil
}

// http10 is the version that has no chunked bodies.
const http10 = "HTTP/1.0"

// checkHTTP10Head returns an error if the HTTP/1.0 head at the start of sent names a transfer encoding: how its body ends isn't
// known then (RFC 9112, 6.1). http.ReadResponse drops the field.
func checkHTTP10Head(sent []byte) error {
	for line := range bytes.Lines(sent) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			break
		}
		if name, _, _ := bytes.Cut(line, []byte(":")); strings.EqualFold(string(name), "Transfer-Encoding") {
			return fmt.Errorf("a transfer encoding in %s: %q", http10, line)
		}
	}
	return nil
}

// isControl reports whether a byte may stand neither in the reason of a status line nor in a value.
func isControl(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }

// trailedBody is the body of an answer. It returns io.EOF only if the trailer is valid.
type trailedBody struct {
	io.ReadCloser
	answer *http.Response
}

func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if broken := checkNames(b.answer.Trailer); broken != nil {
			err = broken
		}
	}
	return n, err
}
