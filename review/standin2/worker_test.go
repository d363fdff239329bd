//go:build review

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// worker is a stand-in for a backend server of a plain service.
type worker struct {
	deployment *deployment
	record     *record
	id         string
	service    string
	zone       string
	slots      int
	queue      int
	work       time.Duration
	// retryAfter is what it adds to its rejections, in seconds; "" means nothing.
	retryAfter string
	// extra returns bytes that the worker sends, late, after an answer; nil means none.
	extra func(w *worker, answer []byte) []byte

	listener net.Listener
	born     int64
	mu       sync.Mutex
	random   *rand.Rand
	seq      uint64
	lastAck  int // status of the answer to the last heartbeat
	waiting  int
	running  int
	places   chan struct{}
	// runs counts how often each request has run here.
	runs    map[string]int
	answers int
	extras  int
	stopped chan struct{}
	conns   []net.Conn
}

// startWorker starts a worker that listens on its own address and announces itself.
func startWorker(d *deployment, w *worker, host int) error {
	return startWorkerAt(d, w, fmt.Sprintf("%s.100.%d:0", d.net, host), host)
}

// startWorkerAt is startWorker at an address.
func startWorkerAt(d *deployment, w *worker, address string, seed int) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.deployment, w.record, w.listener, w.born = d, d.record, l, time.Now().UnixMilli()
	w.random = rand.New(rand.NewPCG(uint64(seed), 1))
	w.places = make(chan struct{}, w.slots)
	w.runs = make(map[string]int)
	w.stopped = make(chan struct{})
	go w.accept()
	go w.announce()
	return nil
}

func (w *worker) address() string { return w.listener.Addr().String() }

// announce sends heartbeats to the controllers, as the page on service discovery says.
func (w *worker) announce() {
	for i := 0; ; i++ {
		for range w.deployment.controllers {
			w.mu.Lock()
			w.seq++
			body, _ := json.Marshal(map[string]any{"Service": w.service, "Address": w.address(), "Zone": w.zone, "Version": "v1", "Slots": w.slots,
				"State": "ready", "ColdLeftMs": 0, "Seq": w.seq, "born": w.born})
			w.mu.Unlock()
			c := w.deployment.controllers[i%len(w.deployment.controllers)]
			status, _, err := w.deployment.call(c, http.MethodPut, "/-/instances/"+w.id, body)
			w.mu.Lock()
			w.lastAck = status
			w.mu.Unlock()
			if err == nil && status == http.StatusOK {
				break
			}
			i++
		}
		select {
		case <-w.stopped:
			return
		case <-time.After(announceInterval):
		}
	}
}

func (w *worker) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns = append(w.conns, c)
		w.mu.Unlock()
		go w.serve(c)
	}
}

// stopAnnouncing ends the heartbeats.
func (w *worker) stopAnnouncing() { close(w.stopped) }

// end ends the worker with its channels.
func (w *worker) end() {
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.conns {
		_ = c.Close()
	}
}

// serve serves one channel. What the worker sends beside its answers is sent when the next request has arrived, which is
// where the next answer is expected.
func (w *worker) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	var late []byte
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if len(late) > 0 {
			w.record.line("%s sends %d further bytes after an answer, late, before that to %s: %q", w.id, len(late), req.Header.Get(headerID), firstLine(late))
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		answer := w.answer(req, body)
		if _, err := c.Write(answer); err != nil {
			return
		}
		if w.extra != nil && req.Header.Get(headerID) != "" {
			w.mu.Lock()
			w.answers++
			if late = w.extra(w, answer); late != nil {
				w.extras++
			}
			w.mu.Unlock()
		}
	}
}

func firstLine(b []byte) string {
	line, _, _ := bytes.Cut(b, []byte("\r\n"))
	return string(line)
}

// Headers of the platform.
const (
	headerID       = "Balsamlb-Request-Id"
	headerExpect   = "Balsamlb-Expect-Instance"
	headerNotRun   = "Balsamlb-Not-Executed"
	headerStamp    = "Balsamlb-Response-Stamp"
	headerDeadline = "Balsamlb-Deadline-Ms"
)

// answer returns the whole answer to a request.
func (w *worker) answer(r *http.Request, body []byte) []byte {
	id := r.Header.Get(headerID)
	switch expected := r.Header.Get(headerExpect); {
	case r.URL.Path == "/health":
		return w.response(http.StatusOK, id, map[string]string{"Balsamlb-Instance-Id": w.id}, "ok")
	case r.URL.Path == "/-/report":
		return w.response(http.StatusOK, id, map[string]string{"Content-Type": "application/json"}, fmt.Sprintf(`{"born":%d,"Busy":false}`, w.born))
	case expected != "" && expected != w.id:
		return w.response(http.StatusMisdirectedRequest, id, map[string]string{headerNotRun: "1"}, "")
	case id == "":
		return w.response(http.StatusBadRequest, id, map[string]string{headerNotRun: "1"}, "")
	}
	if !w.enter() {
		w.record.line("%s rejects %s", w.id, id)
		header := map[string]string{headerNotRun: "1"}
		if w.retryAfter != "" {
			header["Retry-After"] = w.retryAfter
		}
		return w.response(http.StatusServiceUnavailable, id, header, "full")
	}
	defer w.leave()
	w.record.line("%s runs %s", w.id, id)
	w.mu.Lock()
	w.runs[id]++
	w.mu.Unlock()
	time.Sleep(w.work)
	return w.response(http.StatusOK, id, map[string]string{headerStamp: "stamp." + id}, "done "+id+" "+strconv.Itoa(len(body)))
}

// enter waits for a slot, and reports whether there is one or a place to wait for it.
func (w *worker) enter() bool {
	w.mu.Lock()
	if w.running+w.waiting >= w.slots+w.queue {
		w.mu.Unlock()
		return false
	}
	w.waiting++
	w.mu.Unlock()
	w.places <- struct{}{}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting--
	w.running++
	return true
}

func (w *worker) leave() {
	<-w.places
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
}

// response encodes an answer.
func (w *worker) response(status int, id string, header map[string]string, body string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\nKeep-Alive: timeout=10\r\n", status, http.StatusText(status), len(body))
	if id != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", headerID, id)
	}
	w.mu.Lock()
	fmt.Fprintf(&b, "Balsamlb-Server-Load: %d,%d,%d\r\n", w.running, w.waiting, w.slots)
	w.mu.Unlock()
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	b.WriteString("\r\n" + body)
	return b.Bytes()
}

// countRuns returns how often each request has run at the workers.
func countRuns(workers []*worker) map[string]int {
	total := make(map[string]int)
	for _, w := range workers {
		w.mu.Lock()
		for id, n := range w.runs {
			total[id] += n
		}
		w.mu.Unlock()
	}
	return total
}
