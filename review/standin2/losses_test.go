//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// downTime is how long the machines are down: the down_s of wipe_after_ack on the site.
	downTime = 630 * time.Millisecond
	// serveOn is how long the worker that leaves goes on serving.
	serveOn = 20 * time.Second
	// leaveWorkers is the number of workers; one leaves, a share of 0.125 (scale_in has 0.13 on the site).
	leaveWorkers = 8
	// The consumers send 490 bookings a second, 0.7 of what seven workers can take.
	leaveConsumers = 120
	usualPause     = 245 * time.Millisecond
	// workerPause is how long a worker that turns a request away wants nothing from that gateway, in seconds.
	workerPause = "0.5"
)

// lostLeave: a worker leaves. Right after one controller has acknowledged that, it loses its disk, and all other machines
// lose power.
func lostLeave(r *record, hasTrouble bool) error {
	var workers []*worker
	for i := range leaveWorkers {
		w := newDesk(i % len(zones))
		w.id = fmt.Sprintf("%s-%d", w.id, i/len(zones)+1)
		w.queue, w.retryAfter = 2, workerPause
		workers = append(workers, w)
	}
	d, err := startPlain(r, 3, workers)
	if d != nil {
		defer d.stopAll()
	}
	if err != nil {
		return err
	}
	leaver, first := workers[leaveWorkers-1], d.controllers[0]
	leaver.stopAnnouncing()
	status, _, err := d.call(first, http.MethodDelete, "/-/instances/"+leaver.id, nil)
	if err != nil || status != http.StatusOK {
		return errors.New("the worker could not leave")
	}
	acknowledged := time.Now()
	r.line("%s leaves, acknowledged by %s; it goes on serving for %s", leaver.id, first.name, serveOn)
	time.AfterFunc(serveOn, leaver.end)
	if hasTrouble {
		if err := loseAll(d, first); err != nil {
			return err
		}
	}
	// In touch again, twice the contact time after a loss of most of the core.
	time.Sleep(time.Until(acknowledged.Add(downTime + 2*contactTime + time.Second)))
	from := time.Now()
	r.line("all machines are in touch")
	results := bookUntil(d, acknowledged.Add(serveOn+2*time.Second))
	runs := countRuns(workers)
	summarize(r, "bookings", results, runs)
	leaver.mu.Lock()
	late := leaver.runs
	leaver.mu.Unlock()
	reached, lost := 0, 0
	for _, res := range results {
		if late[res.id] > 0 {
			reached++
			if res.status != http.StatusOK {
				lost++
			}
		}
	}
	if reached > 0 {
		r.breakRule("DRAIN: %d bookings sent later than %s after the ack reached the worker that had left; %d of them ran and got no answer", reached, from.Sub(acknowledged).Round(time.Millisecond), lost)
	}
	return nil
}

// loseAll ends all processes at the same moment, removes the folder of one controller, and starts all again.
func loseAll(d *deployment, disk *machine) error {
	for _, m := range d.all() {
		_ = m.command.Process.Kill()
	}
	for _, m := range d.all() {
		<-m.exited
	}
	d.record.line("all machines have lost power, and %s its disk", disk.name)
	if err := os.RemoveAll(disk.dataFolder); err != nil {
		return err
	}
	time.Sleep(downTime)
	for _, m := range d.all() {
		if err := d.start(m); err != nil {
			return err
		}
	}
	return nil
}

// bookUntil lets consumers at the gateways send bookings until a time.
func bookUntil(d *deployment, end time.Time) []result {
	s := &sender{}
	var wait sync.WaitGroup
	for i := range leaveConsumers {
		g := d.gateways[i%len(d.gateways)]
		wait.Go(func() {
			c := &consumer{record: d.record, address: d.front(g)}
			defer c.close()
			time.Sleep(usualPause * time.Duration(i) / leaveConsumers)
			for time.Now().Before(end) {
				next := time.Now().Add(usualPause)
				s.book(c)
				time.Sleep(time.Until(next))
			}
		})
	}
	wait.Wait()
	return s.out
}
