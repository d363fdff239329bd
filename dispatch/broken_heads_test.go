package dispatch

import (
	"io"
	"net/http"
	"strconv"
	"testing"

	"github.com/balsamlb/balsamlb/internal/emulate"
	"github.com/balsamlb/balsamlb/outcome"
	"github.com/matryer/is"
)

// Guards against calls that are answered with what is no answer: a sound server answers them, and without one they have failed.
func TestBrokenHeadsAnswerNoCall(t *testing.T) {
	for _, broken := range emulate.BrokenHeads("") {
		t.Run(broken.Name, func(t *testing.T) {
			is := is.New(t)
			sendsBroken := startPlainServer(t, "broken", func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
					_, _ = io.WriteString(c, broken.Head+"\r\n2\r\n{}\r\n0\r\n\r\n")
					_ = c.Close()
				}
			})
			sound := startPlainServer(t, "sound", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("sound")) })
			d := newPlainDispatcher(sendsBroken, sound)
			for i := range 8 {
				answer, refusal := d.Call(t.Context(), stockCall(strconv.Itoa(i)))
				is.True(refusal == nil)
				is.Equal(string(answer.Body), "sound")
			}
			_, refusal := newPlainDispatcher(sendsBroken).Call(t.Context(), stockCall("x"))
			is.True(refusal != nil)
			is.Equal(refusal.Outcome, outcome.Failed) // it may have run
		})
	}
}
