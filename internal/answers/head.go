package answers

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// checkHead returns an error for what http.ReadResponse accepts, though it is no head of an HTTP answer.
func checkHead(resp *http.Response) error {
	if resp.StatusCode < http.StatusContinue {
		return fmt.Errorf("status %q is below %d", resp.Status, http.StatusContinue)
	}
	if strings.ContainsFunc(resp.Status, isControl) {
		return fmt.Errorf("status line with a control byte: %q", resp.Status)
	}
	return checkNames(resp.Header)
}

// CheckFinal returns an error for what isn't the status and the header of a final answer. Readers of this package have checked
// them; it is for those that arrive by another way than HTTP.
func CheckFinal(status int, h http.Header) error {
	if status < http.StatusOK || status > maxStatus {
		return fmt.Errorf("status %d is no final one", status)
	}
	return checkNames(h)
}

// maxStatus is the largest status that can be written, though HTTP defines those up to 599 only.
const maxStatus = 999

// checkNames returns an error for a name with a blank. Such a field may be one on which the length of the body depends.
// net/textproto rejects all other bytes that a name may not have.
func checkNames(h http.Header) error {
	for name := range h {
		if strings.Contains(name, " ") {
			return fmt.Errorf("field name with a blank: %q", name)
		}
	}
	return nil
}

// oldVersion is the version whose answers have no chunks.
const oldVersion = "HTTP/1.0"

// checkOldHead returns an error if a head of oldVersion, which sent begins with, names an encoding of the body: it isn't known
// then how the body ends. http.ReadResponse drops such a field.
func checkOldHead(sent []byte) error {
	for line := range bytes.Lines(sent) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			break
		}
		if name, _, _ := bytes.Cut(line, []byte(":")); strings.EqualFold(string(name), "Transfer-Encoding") {
			return fmt.Errorf("an encoding of the body in %s: %q", oldVersion, line)
		}
	}
	return nil
}

// isControl reports whether a byte may stand neither in the reason of a status line nor in a value.
func isControl(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }

// trailedBody is the body of an answer, which ends only with a sound trailer.
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
