package gateway_test

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/internal/emulate"
)

const (
	// brokenSoakSeeds is the number of seeds that CI plays; soakSeedVar sets another number.
	brokenSoakSeeds    = 4
	brokenSoakCallers  = 6
	brokenSoakRequests = 40 // of each caller
)

// brokenSoak is one seeded run: servers send sound and broken answers of each kind in turn, some of them before they have read
// the upload.
type brokenSoak struct {
	*fleet

	mu   sync.Mutex
	rng  *rand.Rand
	runs map[string][]brokenRun // by request
}

// brokenRun is one answer of a server.
type brokenRun struct {
	answer  string
	isSound bool
}

// Guards against broken answers that reach callers, and against sound ones that don't.
func TestSoakOfBrokenAnswers(t *testing.T) {
	seeds := brokenSoakSeeds
	if n, err := strconv.Atoi(os.Getenv(soakSeedVar)); err == nil {
		seeds = n
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := &brokenSoak{fleet: newFleet(t), rng: rand.New(rand.NewPCG(uint64(seed), 59)), runs: make(map[string][]brokenRun)}
			s.orders.setUnreachable()
			for i := range 3 {
				s.serve(fmt.Sprint("desk ", i), "desk", 0, 0, s.answer)
				s.serve(fmt.Sprint("advice ", i), "advice", 0, 4, s.answer)
			}
			s.publishDocument(strings.Replace(document, `"MaxBodyBytes":1000`, `"MaxBodyBytes":100000000`, 1))
			var callers sync.WaitGroup
			for caller := range brokenSoakCallers {
				callers.Go(func() { s.call(caller) })
			}
			callers.Wait()
		})
	}
}

func (s *brokenSoak) number(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

// call sends requests one after the other over connections that are kept open, and checks what comes back.
func (s *brokenSoak) call(caller int) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	paths := []string{"/hold/1", "/check/1", "/once/1", "/advice/1"}
	sizes := []int{1, 40, 20_000, 300_000, 4_000_000, 12_000_000}
	for i := range brokenSoakRequests {
		id, path := fmt.Sprintf("req-%d-%d", caller, i), paths[s.number(len(paths))]
		body := append([]byte(id), make([]byte, sizes[s.number(len(sizes))])...)
		r, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, s.front.URL+path, bytes.NewReader(body))
		if err != nil {
			s.t.Error(err)
			return
		}
		r.Host = "shop"
		r.Header.Set("Balsamlb-Request-Id", id)
		r.Header.Set("Api-Key", "key-1")
		got := result{}
		if resp, err := transport.RoundTrip(r); err != nil {
			got.err = err
		} else {
			text, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			got = result{status: resp.StatusCode, header: resp.Header, body: string(text), err: err}
		}
		s.check(id, path, got)
	}
}

// check compares what a caller has got with what servers have sent for its request.
func (s *brokenSoak) check(id, path string, got result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := s.runs[id]
	hasSound, hasBroken := false, false
	isTheirs := false
	for _, run := range runs {
		hasSound = hasSound || run.isSound
		hasBroken = hasBroken || !run.isSound
		isTheirs = isTheirs || run.isSound && run.answer == got.body
	}
	isStream := path == "/once/1" || path == "/advice/1"
	if isStream {
		isTheirs = hasSound && got.body == allEvents // it may go on at another server
	}
	isWhole := got.err == nil && got.status == http.StatusOK
	problem := ""
	switch {
	case isWhole && !isTheirs:
		problem = "a whole answer that no server has sent"
	case isWhole:
	case got.status == 0:
		problem = "no answer at all"
	case hasSound:
		problem = "a sound answer was lost"
	case got.err == nil && got.status == http.StatusServiceUnavailable && len(runs) > 0:
		problem = "has run and is refused"
	case got.err == nil && got.status == http.StatusServiceUnavailable:
	case !hasBroken:
		problem = "failed without a broken answer"
	case got.err == nil && got.status != http.StatusBadGateway:
		problem = "an unusual status"
	}
	if (path == "/hold/1" || path == "/once/1") && len(runs) > 1 {
		problem = "ran more than once"
	}
	if problem != "" {
		s.t.Errorf("%s %s: %s: status %d, %v, %d bytes; runs: %.200q", id, path, problem, got.status, got.err, len(got.body), fmt.Sprint(runs))
	}
}

var allEvents = event(1) + event(2) + event(3)

// answer answers a request in a way that is drawn.
func (s *brokenSoak) answer(c net.Conn, r *http.Request) {
	id := r.Header.Get("Balsamlb-Request-Id")
	head := "Balsamlb-Request-Id: " + id + "\r\nBalsamlb-Response-Stamp: s1\r\n"
	text := "answer to " + id
	if strings.HasPrefix(r.URL.Path, "/once/") || strings.HasPrefix(r.URL.Path, "/advice/") {
		head += "Content-Type: text/event-stream\r\n"
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 without one
		text = ""
		for n := from + 1; n <= 3; n++ {
			text += event(n)
		}
	} else if s.number(4) == 0 {
		text = strings.Repeat(text, 50_000) // more than is buffered
	}
	kinds := soundAnswers(head, text)
	isSound := text == "" || s.number(2) == 0
	if !isSound {
		heads := emulate.BrokenHeads(head)
		kinds = brokenAnswers(head, text, heads[s.number(len(heads))])
	}
	kind := kinds[s.number(len(kinds))]
	s.mu.Lock()
	s.runs[id] = append(s.runs[id], brokenRun{text, isSound})
	s.mu.Unlock()
	if !kind.isEarly {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	_, _ = io.WriteString(c, kind.sent)
	time.Sleep(time.Duration(s.number(20)) * time.Millisecond) // a reset discards what has not been sent
	switch kind.end {
	case endsNot:
		_, _ = io.Copy(io.Discard, r.Body)
	case endsHalf:
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, r.Body)
		_ = c.Close()
	case endsWhole:
		_ = c.Close()
	case endsReset:
		reset(c, r)
	}
}

// soakAnswer is one way to answer.
type soakAnswer struct {
	sent string
	// isEarly means that it is sent before the upload is read.
	isEarly bool
	end     answerEnd
}

// answerEnd is what a server does with the connection after an answer.
type answerEnd int

const (
	endsNot   answerEnd = iota // reads on
	endsHalf                   // closes its direction, and reads on
	endsWhole                  // closes the connection; unread bytes make that a reset
	endsReset
)

// framed is an answer with a length, in chunks without the last one, and one that ends with its connection.
func framed(head, text string) (withLength, inChunks, unbounded string) {
	const statusOK = "HTTP/1.1 200 OK\r\n"
	return statusOK + head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(text), text),
		statusOK + head + "Transfer-Encoding: chunked\r\n\r\n" + inChunk(text),
		statusOK + head + "\r\n" + text
}

func inChunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func soundAnswers(head, text string) []soakAnswer {
	withLength, inChunks, unbounded := framed(head, text)
	return []soakAnswer{
		{withLength, false, endsNot},
		{withLength, true, endsNot},
		{inChunks + "0\r\n\r\n", false, endsNot},
		{inChunks + "0\r\nX-Y: z\r\n\r\n", true, endsNot},
		{unbounded, false, endsWhole},
		{unbounded, true, endsHalf},
		{"HTTP/1.1 103 Early\r\n\r\n" + withLength, false, endsNot},
		{withLength + "HTTP/1.1 200 OK\r\n" + head, false, endsNot}, // bytes of no request follow
	}
}

func brokenAnswers(head, text string, broken emulate.BrokenHead) []soakAnswer {
	withLength, inChunks, unbounded := framed(head, text)
	cut := len(text) / 3
	return []soakAnswer{
		{broken.Head + "\r\n" + inChunk(text) + "0\r\n\r\n", false, endsWhole},
		{unbounded[:len(unbounded)-cut], true, endsReset},
		{unbounded[:len(unbounded)-cut], false, endsReset},
		{withLength[:len(withLength)-cut], false, endsWhole},
		{withLength[:len(withLength)-cut], true, endsHalf},
		{inChunks, false, endsWhole},
		{inChunks + "0\r\nX Y: z\r\n\r\n", false, endsNot},
		{"", true, endsReset},
		{"", false, endsWhole},
		{text, false, endsWhole}, // without a head
	}
}
