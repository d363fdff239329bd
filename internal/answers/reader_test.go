package answers_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/balsamlb/balsamlb/internal/answers"
	"github.com/balsamlb/balsamlb/internal/emulate"
	"github.com/matryer/is"
)

// read reads one answer from what a server has sent.
func read(sent string, isAnswer func(int, http.Header) bool) (*http.Response, error) {
	return answers.NewReader(strings.NewReader(sent), 4<<10).Read(http.MethodGet, isAnswer)
}

// Guards against answers of servers in trouble whose head is no HTTP, also before the answer that is read.
func TestBrokenHeadsAreNoAnswers(t *testing.T) {
	const chunks = "4\r\nbody\r\n0\r\n\r\n"
	for _, broken := range emulate.BrokenHeads("X-Id: 1\r\n") {
		t.Run(broken.Name, func(t *testing.T) {
			is := is.New(t)
			_, err := read(broken.Head+"\r\n"+chunks, nil)
			is.True(answers.IsMalformed(err))
			other := strings.Replace(broken.Head, "X-Id: 1", "X-Id: 2", 1) + "\r\n" + chunks
			sound := "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\nbody"
			_, err = read(other+sound, func(_ int, h http.Header) bool { return h.Get("X-Id") == "1" })
			is.True(answers.IsMalformed(err))
		})
	}
}

// A status that HTTP doesn't define is passed on: callers read it by its first digit, or as a failure of the server.
func TestUnusualHeadsAreAnswers(t *testing.T) {
	for name, head := range map[string]string{
		"status 299":              "HTTP/1.1 299 Odd\r\nContent-Length: 4\r\n",
		"status 600":              "HTTP/1.1 600 Odd\r\nContent-Length: 4\r\n",
		"status 999":              "HTTP/1.1 999 Odd\r\nContent-Length: 4\r\n",
		"no reason":               "HTTP/1.1 200\r\nContent-Length: 4\r\n",
		"reason with a tab":       "HTTP/1.1 200 O\tK\r\nContent-Length: 4\r\n",
		"reason of other letters": "HTTP/1.1 200 pr\xc3\xaat\r\nContent-Length: 4\r\n",
		"HTTP/1.0":                "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n",
		"lines that end with LF":  "HTTP/1.1 200 OK\nContent-Length: 4\n",
		"every byte of a name":    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n!#$%&'*+-.^_`|~09AZaz: z\r\n",
		"folded value":            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Y: a\r\n b\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			resp, err := read(head+"\r\nbody", nil)
			is.NoErr(err)
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(string(body), "body")
		})
	}
}

// Guards against fields after the last chunk that HTTP doesn't allow: the body isn't taken for complete.
func TestBrokenTrailersMakeAnswersIncomplete(t *testing.T) {
	for name, c := range map[string]struct {
		trailer  string
		isBroken bool
	}{
		"none":                       {"", false},
		"field":                      {"X-Y: z\r\n", false},
		"blank in a name":            {"X Y: z\r\n", true},
		"blank at the end of a name": {"X-Y : z\r\n", true},
		"control byte in a name":     {"X\x01Y: z\r\n", true},
		"no colon":                   {"X-Y\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			resp, err := read("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"+c.trailer+"\r\n", nil)
			is.NoErr(err)
			body, err := io.ReadAll(resp.Body)
			is.Equal(string(body), "body")
			is.Equal(err != nil, c.isBroken)
		})
	}
}

// The head of an HTTP/1.0 answer is checked apart from its body, in whatever parts it arrives.
func TestTransferEncodingInHTTP10HeadIsFound(t *testing.T) {
	for name, c := range map[string]struct {
		sent     string
		isBroken bool
	}{
		"encoding in the body":             {"HTTP/1.0 200 OK\r\nContent-Length: 30\r\n\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		"encoding after a long line":       {"HTTP/1.0 200 OK\r\nX-Y: " + strings.Repeat("z", 9000) + "\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		"encoding after an interim answer": {"HTTP/1.1 103 Early\r\n\r\nHTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", true},
		"interim answer with an encoding":  {"HTTP/1.0 103 Early\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.0 200 OK\r\n\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			for _, reader := range []io.Reader{strings.NewReader(c.sent), iotest.OneByteReader(strings.NewReader(c.sent))} {
				_, err := answers.NewReader(reader, 4<<10).Read(http.MethodGet, nil)
				is.New(t).Equal(answers.IsMalformed(err), c.isBroken)
			}
		})
	}
}
