//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// foreignEntries: another writer sends, once for each worker of the bookings, an entry with a service that isn't named in
// the configuration and the address of that worker. The workers go on, and go on announcing themselves.
func foreignEntries(r *record, hasTrouble bool) error {
	d, workers, err := startShelves(r)
	if d != nil {
		defer d.stopAll()
	}
	if err != nil {
		return err
	}
	if hasTrouble {
		for i, w := range workers {
			if err := sendForeignEntry(d, w, i); err != nil {
				return err
			}
		}
	}
	time.Sleep(contactTime)
	return checkBookingsServed(d, workers)
}

// shelfConfig is plainConfig with a second service.
func shelfConfig() string {
	text := strings.Replace(plainConfig, `"Version":3`, `"Version":4`, 1)
	text = strings.Replace(text, `"Routes":[`, `"Routes":[
{"Name":"r-shelf","Hostname":"shop.example","PathPrefix":"/shelf/","Kind":"idempotent","TimeoutMs":4000,"TargetLatencyMs":300,"Priority":2,"Service":"shelf-api","MaxAttempts":2,"AllowAnonymous":false},`, 1)
	return strings.Replace(text, `"Services":[`, `"Services":[{"Name":"shelf-api","HealthPath":"/health","MaxConns":100,"Protocol":"h1","Tls":false},`, 1)
}

// sendForeignEntry sends one entry of another writer.
func sendForeignEntry(d *deployment, w *worker, i int) error {
	body, err := json.Marshal(map[string]any{"Service": "legacy-ledger", "Address": w.address(), "Zone": w.zone, "Version": "v1", "Slots": 6,
		"State": "ready", "ColdLeftMs": 0, "Seq": 1, "born": time.Now().UnixMilli()})
	if err != nil {
		return err
	}
	c := d.controllers[i%len(d.controllers)]
	status, _, err := d.call(c, http.MethodPut, fmt.Sprintf("/-/instances/ledger-%d", i+1), body)
	d.record.line("another writer sends %s to %s: status %d, %v", body, c.name, status, err)
	return err
}

// incompleteEntry: another writer announces, with fields missing, an address at which a web server listens that is no
// worker. The workers and all else are sound.
func incompleteEntry(r *record, hasTrouble bool) error {
	var workers []*worker
	for i := range zones {
		workers = append(workers, newDesk(i))
	}
	d, err := startPlain(r, 3, workers)
	if d != nil {
		defer d.stopAll()
	}
	if err != nil {
		return err
	}
	site, err := net.Listen("tcp", d.net+".102.1:0")
	if err != nil {
		return err
	}
	defer site.Close()
	go func() {
		_ = http.Serve(site, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			r.line("the web server, which is no worker, gets %s %s %s", req.Method, req.URL.Path, req.Header.Get(headerID))
			http.Error(w, "no such page", http.StatusNotFound)
		}))
	}()
	stop := make(chan struct{})
	if hasTrouble {
		go announceIncomplete(d, site.Addr().String(), stop)
	}
	time.Sleep(contactTime)
	results := steady(d, 20*time.Second, 3)
	close(stop)
	runs := countRuns(workers)
	summarize(r, "bookings", results, runs)
	denied := 0
	for _, res := range results {
		isOwn := res.header.Get(headerStamp) == "" && res.status >= 300 && res.status < 500
		if isOwn && !isPromise(res.status) {
			denied++
		}
	}
	if limit := 5 + len(results)/500; denied > limit {
		r.breakRule("DENIED: %d of %d proper bookings were ended with a 4xx that is no worker's; %d are allowed", denied, len(results), limit)
	}
	return nil
}

// announceIncomplete sends heartbeats that lack the fields Version, Slots, ColdLeftMs and born.
func announceIncomplete(d *deployment, address string, stop chan struct{}) {
	for i := 1; ; i++ {
		body := fmt.Sprintf(`{"Service":"order-desk","Address":"%s","Zone":"colombo","State":"ready","Seq":%d}`, address, i)
		c := d.controllers[i%len(d.controllers)]
		status, _, err := d.call(c, http.MethodPut, "/-/instances/ledger-1", []byte(body))
		d.record.line("another writer sends %s to %s: status %d, %v", body, c.name, status, err)
		select {
		case <-stop:
			return
		case <-time.After(announceInterval):
		}
	}
}
