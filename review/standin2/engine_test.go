//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The model and the accelerators of the sheets: 80 layers of 1,750 MB, 590,000 bytes a token over all layers.
const (
	modelLayers   = 80
	layerMB       = 1750
	tokenBytes    = 590_000
	acceleratorMB = 72_000
	loadTime      = 14 * time.Second // for all layers
	engineSlots   = 192
	streamEvents  = 20
	eventPause    = 20 * time.Millisecond
)

// engine is a stand-in for a model worker.
type engine struct {
	deployment *deployment
	record     *record
	id         string
	zone       string
	listener   net.Listener
	born       int64

	mu       sync.Mutex
	sequence uint64
	from, to int
	orders   uint64
	fence    uint64
	isBusy   bool
	running  int
	runs     map[string]int
}

// startEngine starts a model worker that holds some layers.
func startEngine(d *deployment, id, zone string, host, from, to int) (*engine, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.101.%d:0", d.net, host))
	if err != nil {
		return nil, err
	}
	e := &engine{deployment: d, record: d.record, id: id, zone: zone, listener: l, born: time.Now().UnixMilli(), from: from, to: to, runs: make(map[string]int)}
	go e.accept()
	go e.announce()
	return e, nil
}

func (e *engine) address() string { return e.listener.Addr().String() }

// models returns what the worker says of its model. The caller holds the lock.
func (e *engine) models() []any {
	return []any{map[string]any{"Name": "daka510000", "Version": 1, "Adapters": []any{}, "Layers": map[string]any{"From": e.from, "To": e.to, "Version": 1}}}
}

func (e *engine) announce() {
	for i := 0; ; i++ {
		for range e.deployment.controllers {
			e.mu.Lock()
			e.sequence++
			body, _ := json.Marshal(map[string]any{"Service": "advice-llm", "Address": e.address(), "Zone": e.zone, "Version": "v1", "Slots": engineSlots,
				"State": "ready", "ColdLeftMs": 0, "Seq": e.sequence, "born": e.born, "Kind": "a100", "Stage": "colocated", "Models": e.models()})
			e.mu.Unlock()
			c := e.deployment.controllers[i%len(e.deployment.controllers)]
			if status, _, err := e.deployment.call(c, http.MethodPut, "/-/instances/"+e.id, body); err == nil && status == http.StatusOK {
				break
			}
			i++
		}
		time.Sleep(announceInterval)
	}
}

func (e *engine) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(c)
	}
}

func (e *engine) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if err := e.answer(c, req, body); err != nil {
			return
		}
	}
}

// answer writes the answer to a request.
func (e *engine) answer(w io.Writer, r *http.Request, body []byte) error {
	id := r.Header.Get(headerID)
	switch expected := r.Header.Get(headerExpect); {
	case r.URL.Path == "/-/report":
		return e.report(w)
	case r.URL.Path == "/-/order":
		return e.order(w, body)
	case expected != "" && expected != e.id:
		return respond(w, http.StatusMisdirectedRequest, id, "Balsamlb-Not-Executed: 1\r\n", "")
	case id == "" || !e.begins(r.Header.Get("Balsamlb-Hop-Count")):
		return respond(w, http.StatusBadRequest, id, "Balsamlb-Not-Executed: 1\r\n", "")
	}
	prompt, _, _ := strings.Cut(r.Header.Get("Balsamlb-Token-Counts"), ",")
	tokens, _ := strconv.ParseFloat(prompt, 64)
	e.mu.Lock()
	isFull := tokens > e.memory() || e.running >= engineSlots
	if !isFull {
		e.running++
		e.runs[id]++
	}
	load := fmt.Sprintf("Balsamlb-Server-Load: %d,0,%d\r\n", e.running, engineSlots)
	e.mu.Unlock()
	if isFull {
		return respond(w, http.StatusServiceUnavailable, id, load+"Balsamlb-Not-Executed: 1\r\nAt-Server: "+e.address()+"\r\n", "")
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	return e.stream(w, r, id, load)
}

// begins reports whether a path begins with this worker and with layers that it holds.
func (e *engine) begins(path string) bool {
	first, _, _ := strings.Cut(path, ",")
	address, layers, _ := strings.Cut(first, "=")
	from, to, _ := strings.Cut(layers, "-")
	begin, err := strconv.Atoi(from)
	if err != nil {
		return false
	}
	end, err := strconv.Atoi(to)
	e.mu.Lock()
	defer e.mu.Unlock()
	return err == nil && address == e.address() && begin >= e.from && end <= e.to
}

// memory returns the tokens that a request may have at most. The caller holds the lock.
func (e *engine) memory() float64 {
	layers := max(1, e.to-e.from)
	return float64(acceleratorMB-layers*layerMB) * 1e6 / (tokenBytes / modelLayers) / float64(layers)
}

// stream writes the events of an answer.
func (e *engine) stream(w io.Writer, r *http.Request, id, load string) error {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp.%s\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", headerID, id, headerStamp, id, load)
	if _, err := io.WriteString(w, head); err != nil {
		return err
	}
	for i := last + 1; i <= streamEvents; i++ {
		time.Sleep(eventPause)
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, id)
		if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event); err != nil {
			return err
		}
	}
	_, err := io.WriteString(w, "0\r\n\r\n")
	return err
}

func (e *engine) report(w io.Writer) error {
	e.mu.Lock()
	body, _ := json.Marshal(map[string]any{"Stage": "colocated", "Models": e.models(), "Busy": e.isBusy, "Seq": e.orders, "Waiting": 0, "Running": e.running,
		"KvUsed": 0, "KvTotal": e.memory() * float64(e.to-e.from), "Handles": 0, "pace": 1.0, "born": e.born, "Stalled": []any{}})
	e.mu.Unlock()
	return respond(w, http.StatusOK, "", "Content-Type: application/json\r\n", string(body))
}

// order carries out an order. A path never has to change here, since no worker fails.
func (e *engine) order(w io.Writer, body []byte) error {
	var o struct {
		Op       string
		Fence    uint64
		Expected *uint64
		From, To int
	}
	if err := json.Unmarshal(body, &o); err != nil {
		return respond(w, http.StatusBadRequest, "", "", "{}")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.record.line("%s gets an order: %s", e.id, body)
	switch {
	case o.Op == "repath":
		return respond(w, http.StatusNotFound, "", "", "{}")
	case o.Op != "place":
		return respond(w, http.StatusBadRequest, "", "", "{}")
	case o.Fence < e.fence:
		return respond(w, http.StatusPreconditionFailed, "", "", "{}")
	case o.Expected != nil && *o.Expected != e.orders || e.isBusy:
		return respond(w, http.StatusConflict, "", "", "{}")
	}
	e.fence = o.Fence
	e.orders++
	e.isBusy = true
	time.AfterFunc(loadTime*time.Duration(o.To-o.From)/modelLayers, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.from, e.to, e.isBusy = o.From, o.To, false
	})
	return respond(w, http.StatusAccepted, "", "", "{}")
}

// respond writes an answer with a body.
func respond(w io.Writer, status int, id, fields, body string) error {
	if id != "" {
		fields += headerID + ": " + id + "\r\n"
	}
	_, err := fmt.Fprintf(w, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), fields, len(body), body)
	return err
}
