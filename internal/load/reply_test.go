package load

import (
	"bufio"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a panic of the callers of a bench on an event that holds neither a token nor an error.
func TestEventWithoutChoicesIsAViolation(t *testing.T) {
	for _, data := range []string{"{}", `{"choices":[]}`, "null"} {
		is := is.New(t)
		in := bufio.NewReader(strings.NewReader("data: " + data + "\n\ndata: [DONE]\n\n"))
		r := readDraft(Request{Prompt: "p"}, in, time.Now())
		is.Equal(r.Violation, "malformed event: "+data)
	}
}
