package answers

import (
	"fmt"
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
	return nil
}

// isControl reports whether a byte may stand neither in the reason of a status line nor in a value.
func isControl(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }
