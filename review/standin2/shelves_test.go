//go:build review

package main

import (
	"errors"
	"net/http"
	"sync"
	"time"
)

// startShelves starts a deployment with two plain services of three workers each, those of the bookings and the shelves.
func startShelves(r *record) (*deployment, []*worker, error) {
	var workers []*worker
	for i := range zones {
		workers = append(workers, newDesk(i))
	}
	d, err := startPlain(r, 3, workers)
	if err != nil {
		return d, nil, err
	}
	for i, zone := range zones {
		w := newDesk(i)
		w.id, w.service = "i-shelf-"+zone, "shelf-api"
		if err := startWorker(d, w, 10+i); err != nil {
			return d, nil, err
		}
	}
	if err := d.configure([]byte(shelfConfig()), 5*time.Second); err != nil {
		return d, nil, err
	}
	time.Sleep(contactTime)
	return d, workers, nil
}

// checkBookingsServed sends bookings and requests to the other service through all gateways, and checks the rule Starved.
func checkBookingsServed(d *deployment, workers []*worker) error {
	r := d.record
	var mu sync.Mutex
	sent, served := make(map[string]int), make(map[string]int)
	var wait sync.WaitGroup
	end := time.Now().Add(20 * time.Second)
	for _, g := range d.gateways {
		for kind, path := range map[string]string{"bookings": "/hold/1", "shelf look-ups": "/shelf/1"} {
			wait.Go(func() {
				c := &consumer{record: r, address: d.front(g)}
				defer c.close()
				for at := time.Now(); at.Before(end); at = at.Add(300 * time.Millisecond) {
					time.Sleep(time.Until(at))
					res := c.do(http.MethodPost, path, plainKey, "{}", 4*time.Second)
					mu.Lock()
					sent[kind]++
					if res.status == http.StatusOK && res.err == nil {
						served[kind]++
					}
					mu.Unlock()
				}
			})
		}
	}
	wait.Wait()
	for _, w := range workers {
		w.mu.Lock()
		r.line("%s has sent %d heartbeats, the last acknowledged with status %d", w.id, w.seq, w.lastAck)
		w.mu.Unlock()
	}
	r.line("sent %v, served %v", sent, served)
	if served["shelf look-ups"] == 0 {
		return errors.New("nothing was served")
	}
	bookings := float64(served["bookings"]) / float64(sent["bookings"])
	all := float64(served["bookings"]+served["shelf look-ups"]) / float64(sent["bookings"]+sent["shelf look-ups"])
	if bookings < all/4 {
		r.breakRule("Starved: %d of %d bookings were served, %.3f, and of all requests %.3f", served["bookings"], sent["bookings"], bookings, all)
	}
	return nil
}
