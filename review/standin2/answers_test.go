//go:build review

package main

import (
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"
)

// plainConfig is a configuration with one plain service.
const plainConfig = `{"Version":3,"Routes":[
{"Name":"r-hold","Hostname":"shop.example","PathPrefix":"/hold/","Kind":"non_idempotent","TimeoutMs":4000,"TargetLatencyMs":300,"Priority":2,"Service":"order-desk","MaxAttempts":2,"AllowAnonymous":false},
{"Name":"r-check","Hostname":"shop.example","PathPrefix":"/check/","Kind":"idempotent","TimeoutMs":4000,"TargetLatencyMs":300,"Priority":2,"Service":"order-desk","MaxAttempts":2,"AllowAnonymous":false}],
"Services":[{"Name":"order-desk","HealthPath":"/health","MaxConns":100,"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"hule930","ApiKeys":["n2ctnfzs989anu6wsjnb"],"Priority":1}]}`

const plainKey = "n2ctnfzs989anu6wsjnb"

// startPlain starts a deployment with three workers of one plain service and waits until all is in service.
func startPlain(r *record, gateways int, workers []*worker) (*deployment, error) {
	d, err := newDeployment(r, gateways)
	if err != nil {
		return nil, err
	}
	if err := d.startAll(); err != nil {
		return d, err
	}
	for i, w := range workers {
		if err := startWorker(d, w, i+1); err != nil {
			return d, err
		}
	}
	if err := d.configure([]byte(plainConfig), 15*time.Second); err != nil {
		return d, err
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return d, err
	}
	return d, awaitServed(d)
}

// awaitServed waits until all gateways serve an idempotent request, and for the time after which machines are in touch.
func awaitServed(d *deployment) error {
	deadline := time.Now().Add(10 * time.Second)
	for _, g := range d.gateways {
		c := &consumer{record: d.record, address: d.front(g)}
		for c.do(http.MethodGet, "/check/1", plainKey, "", time.Second).status != http.StatusOK {
			if time.Now().After(deadline) {
				c.close()
				return errors.New("a gateway serves nothing")
			}
			time.Sleep(100 * time.Millisecond)
		}
		c.close()
	}
	time.Sleep(contactTime)
	return nil
}

// newDesk returns a worker like those of the sheets: 6 slots and 60 ms of work.
func newDesk(i int) *worker {
	return &worker{id: "i-desk-" + zones[i], service: "order-desk", zone: zones[i], slots: 6, queue: 6, work: 60 * time.Millisecond}
}

// The disruption "garble", variant "extra late", as the site file has it at most: for 5 s at a time, workers send further
// bytes after 3 in 100 of their answers. It comes again every 10 s.
const (
	garbleShare  = 0.03
	garbleLength = 5 * time.Second
	garbleEvery  = 10 * time.Second
)

// isGarbled draws whether a worker sends further bytes after an answer.
func isGarbled(w *worker) bool {
	return time.Since(w.record.started)%garbleEvery < garbleLength && w.random.Float64() < garbleShare
}

// strayAnswer: one of three workers sends further bytes after some of its complete answers, late. They belong to no
// request: an answer without an ID, as servers send it to a channel that they take for idle.
func strayAnswer(r *record, hasTrouble bool) error {
	var workers []*worker
	for i := range zones {
		workers = append(workers, newDesk(i))
	}
	if hasTrouble {
		workers[0].extra = func(w *worker, answer []byte) []byte {
			if isGarbled(w) {
				return []byte("HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n")
			}
			return nil
		}
	}
	return playBookings(r, workers, 3, func(d *deployment, during time.Duration) []result {
		return steady(d, during, 3)
	})
}

// playBookings starts a deployment, lets consumers send bookings, and checks what ran.
func playBookings(r *record, workers []*worker, gateways int, send func(d *deployment, during time.Duration) []result) error {
	d, err := startPlain(r, gateways, workers)
	if d != nil {
		defer d.stopAll()
	}
	if err != nil {
		return err
	}
	results := send(d, 40*time.Second)
	time.Sleep(2 * time.Second) // what was refused must not run later
	runs := countRuns(workers)
	summarize(r, "bookings", results, runs)
	for _, w := range workers {
		r.line("%s sent %d answers, after %d of them further bytes", w.id, w.answers, w.extras)
	}
	checkOnce(r, results, runs)
	for _, res := range results {
		if res.status == http.StatusOK && strings.HasPrefix(res.body, "done ") {
			return nil
		}
	}
	return errors.New("no request was served")
}

// steady lets consumers at each gateway send bookings, one after the other.
func steady(d *deployment, during time.Duration, consumers int) []result {
	s := &sender{}
	end := time.Now().Add(during)
	for _, g := range d.gateways {
		for range consumers {
			s.wait.Go(func() {
				c := &consumer{record: d.record, address: d.front(g)}
				defer c.close()
				for time.Now().Before(end) {
					s.book(c)
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	return s.results()
}

// sender collects the results of consumers that run at the same time.
type sender struct {
	wait sync.WaitGroup
	mu   sync.Mutex
	out  []result
}

// book sends one booking.
func (s *sender) book(c *consumer) {
	res := c.do(http.MethodPost, "/hold/1", plainKey, `{"hold":1}`, 4*time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.out = append(s.out, res)
}

// results waits for the consumers and returns what they have got.
func (s *sender) results() []result {
	s.wait.Wait()
	return s.out
}
