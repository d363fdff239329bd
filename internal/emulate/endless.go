package emulate

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// endlessBytes and endlessTime end an endless answer if its reader doesn't.
	endlessBytes = 64 << 20
	endlessTime  = 20 * time.Second
	// endlessBlock is the size in bytes of a block without pauses.
	endlessBlock = 64 << 10
	tricklePause = 100 * time.Millisecond
)

// EndlessAnswer is an answer of a backend server in trouble: Start, and then Block again and again, with
// a pause after each, until the reader closes the connection.
type EndlessAnswer struct {
	Name  string
	Start string
	Block string
	Pause time.Duration
}

// EndlessAnswers returns an answer of each kind to a call. head is the beginning of the head of a sound
// answer to it: its status line and headers, each with its line end, without the empty line.
func EndlessAnswers(head string) []EndlessAnswer {
	block := strings.Repeat("x", endlessBlock)
	lines := strings.Repeat("X-A: "+strings.Repeat("y", 59)+"\r\n", 1024)
	interim := "HTTP/1.1 102 P\r\n\r\n"
	return []EndlessAnswer{
		{"no HTTP", "", block, 0},
		{"one header line", head + "X-A: ", block, 0},
		{"header lines", head, lines, 0},
		{"interim answers", "", strings.Repeat(interim, 1024), 0},
		{"header lines, slowly", head, "X-A: y\r\n", tricklePause},
		{"interim answers, slowly", "", interim, tricklePause},
		{"body of another request", "HTTP/1.1 200 OK\r\nX-Other: 1\r\n\r\n", block, 0},
		{"body of another request, chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n" + block + "\r\n", 0},
		{"body", head + "\r\n", block, 0},
		{"body, slowly", head + "\r\n", "x", tricklePause},
		{"chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n5;", block, 0},
		{"trailer", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", lines, 0},
	}
}

// EndlessStreams returns an answer of each kind that begins as an event stream.
func EndlessStreams(head string) []EndlessAnswer {
	start := head + "Content-Type: text/event-stream\r\n\r\n"
	return []EndlessAnswer{
		{"one event", start + "data: ", strings.Repeat("x", endlessBlock), 0},
		{"comments", start, strings.Repeat(": y\n\n", 4096), 0},
		{"one comment", start + ": ", strings.Repeat("x", endlessBlock), 0},
		{"comments, slowly", start, ": y\n\n", tricklePause},
		{"events", start, strings.Repeat("data: y\n\n", 4096), 0},
	}
}

// EndlessServer is a backend server that gives each request an endless answer.
type EndlessServer struct {
	listener net.Listener
	answer   EndlessAnswer
	sent     atomic.Int64
	requests atomic.Int64
	open     atomic.Int64
}

// ServeEndless accepts connections on the listener until it is closed.
func ServeEndless(l net.Listener, a EndlessAnswer) *EndlessServer {
	s := &EndlessServer{listener: l, answer: a}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.open.Add(1)
			go func() {
				defer s.open.Add(-1)
				defer c.Close()
				s.Answer(c)
			}()
		}
	}()
	return s
}

// Answer reads a request and answers it on the connection until the reader closes it.
func (s *EndlessServer) Answer(c net.Conn) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	s.requests.Add(1)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.send(c)
}

// send writes the answer until a write fails.
func (s *EndlessServer) send(c net.Conn) {
	end := time.Now().Add(endlessTime)
	if err := c.SetWriteDeadline(end); err != nil {
		return
	}
	n, err := io.WriteString(c, s.answer.Start)
	for sent := n; err == nil && sent < endlessBytes && time.Now().Before(end); {
		s.sent.Add(int64(n))
		time.Sleep(s.answer.Pause)
		n, err = io.WriteString(c, s.answer.Block)
		sent += n
	}
}

// Sent returns the bytes that were sent so far, with those in the buffers of connections.
func (s *EndlessServer) Sent() int64 { return s.sent.Load() }

// Requests returns the number of requests that were answered so far.
func (s *EndlessServer) Requests() int64 { return s.requests.Load() }

// Open returns the number of open connections.
func (s *EndlessServer) Open() int64 { return s.open.Load() }
