//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in for a worker of a plain service.
type server struct {
	d       *deployment
	id      string
	service string
	zone    string
	address string
	born    int64
	slots   int
	// nodes are the control instances that it announces itself to, the preferred one first.
	nodes []*process
	// work is how long a request takes.
	work time.Duration
	// onRun, if set, replaces the usual answer of a request that runs.
	onRun func(w http.ResponseWriter, r *http.Request, body []byte)

	seq       atomic.Uint64
	running   atomic.Int64
	isLeaving atomic.Bool
	// isDraining is what the heartbeats say; isCut means that the server is partitioned from control, so that its
	// heartbeats arrive nowhere.
	isDraining, isCut atomic.Bool
	lastBeat          atomic.Int64 // Unix milliseconds of the last heartbeat that was acknowledged
	http              *http.Server
	stopBeat          chan struct{}
	beatDone          chan struct{}

	beatMu sync.Mutex
	node   int // the node that gets the heartbeats, by its index in nodes

	mu   sync.Mutex
	runs map[string]int // by request id
	// arrivals holds when requests that were not answered 421 arrived, by id.
	arrivals map[string]time.Time
}

func newServer(d *deployment, n int, service, zone string, preferred int) *server {
	s := &server{
		d: d, id: fmt.Sprintf("i-%04x", 0x7a10+n), service: service, zone: zone, born: time.Now().UnixMilli(), slots: 6,
		address: fmt.Sprintf("%s.%d:%d", d.base, 21+n, d.port), work: 60 * time.Millisecond,
		runs: make(map[string]int), arrivals: make(map[string]time.Time), stopBeat: make(chan struct{}), beatDone: make(chan struct{}),
	}
	for i := range d.controllers {
		s.nodes = append(s.nodes, d.controllers[(preferred+i)%len(d.controllers)])
	}
	return s
}

// otherServers is the number of servers of another service, so that one server is an eighth of all.
const otherServers = 5

// startOthers starts the servers of the other service, which get no requests.
func startOthers(d *deployment) error {
	for i := range otherServers {
		if err := newServer(d, 10+i, "guide", zones[i%len(zones)], i).start(); err != nil {
			return err
		}
	}
	return nil
}

// start serves requests and announces the server until leave or stop.
func (s *server) start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	go s.announce()
	return nil
}

// announce sends heartbeats.
func (s *server) announce() {
	defer close(s.beatDone)
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		s.beat()
		select {
		case <-s.stopBeat:
			return
		case <-ticker.C:
		}
	}
}

// beat sends a heartbeat and reports whether it was acknowledged. The server stays with a node until a heartbeat
// fails there, and then calls the next one.
func (s *server) beat() bool {
	s.beatMu.Lock()
	defer s.beatMu.Unlock()
	state := "ready"
	if s.isDraining.Load() {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"Service": s.service, "Address": s.address, "Zone": s.zone, "Version": "v1", "Slots": s.slots, "State": state, "ColdLeftMs": 0,
		"Seq": s.seq.Add(1), "born": s.born,
	})
	if s.isCut.Load() {
		return false
	}
	for range s.nodes {
		status, _, _ := call(http.MethodPut, "http://"+s.nodes[s.node].address(portControl)+"/-/instances/"+s.id, body)
		if status/100 == 2 {
			s.lastBeat.Store(time.Now().UnixMilli())
			return true
		}
		s.node = (s.node + 1) % len(s.nodes)
	}
	return false
}

// drain reports that the server is draining, and returns when that was acknowledged.
func (s *server) drain() (time.Time, error) {
	s.isDraining.Store(true)
	s.isLeaving.Store(true)
	for range 5 {
		if s.beat() {
			s.d.record.printf("%s is acknowledged as draining by %s", s.id, s.nodes[s.node].name)
			return time.Now(), nil
		}
	}
	return time.Time{}, fmt.Errorf("%s got no ack", s.id)
}

// leave says at a node that the server leaves, without a word of it before. It returns when that was
// acknowledged.
func (s *server) leave(node *process) (time.Time, error) {
	s.isLeaving.Store(true)
	close(s.stopBeat)
	<-s.beatDone
	for range 5 {
		status, _, err := call(http.MethodDelete, "http://"+node.address(portControl)+"/-/instances/"+s.id, nil)
		s.d.record.printf("%s sends DELETE to %s: %d %v", s.id, node.name, status, err)
		if status/100 == 2 {
			return time.Now(), nil
		}
	}
	return time.Time{}, fmt.Errorf("%s got no ack", s.id)
}

// exit ends the server with all its connections.
func (s *server) exit() {
	s.d.record.printf("%s exits", s.id)
	_ = s.http.Close()
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	h := w.Header()
	id := r.Header.Get("Balsamlb-Request-Id")
	if r.URL.Path == "/health" {
		h.Set("Balsamlb-Instance-Id", s.id)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/-/") {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if id != "" {
		h.Set("Balsamlb-Request-Id", id)
	}
	if s.isLeaving.Load() {
		h.Set("Server-Leaving", "1")
	}
	refuse := func(status int) {
		h.Set("Balsamlb-Not-Executed", "1")
		w.WriteHeader(status)
	}
	if expected := r.Header.Get("Balsamlb-Expect-Instance"); expected != "" && expected != s.id {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		refuse(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.arrivals[id] = time.Now()
	s.mu.Unlock()
	defer s.running.Add(-1)
	if s.running.Add(1) > int64(s.slots) {
		refuse(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	s.d.record.printf("%s runs %s", s.id, id)
	h.Set("Balsamlb-Server-Load", fmt.Sprintf("%d,0,%d", s.running.Load(), s.slots))
	h.Set("Keep-Alive", "timeout=10")
	h.Set("Balsamlb-Response-Stamp", "stamp."+s.id+"."+id)
	if s.onRun != nil {
		s.onRun(w, r, body)
		return
	}
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		s.d.record.printf("%s drops %s: its channel is closed", s.id, id)
		return
	}
	fmt.Fprintf(w, "answer to %s by %s", id, s.id)
}
