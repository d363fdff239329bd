//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// silentDrain has a server report that it drains, and then partitions it from control for some seconds.
func silentDrain(d *deployment, hasTrouble bool) (string, error) {
	if err := d.startAll(3, plainConfig(3, 2000)); err != nil {
		return "", err
	}
	const (
		cutFor = 5 * time.Second
		// exitAfter is when the server exits after the ack of its drain, well beyond DrainMs.
		exitAfter = drainTime + 2000*time.Millisecond
		// Every interval, two bookings more arrive than the two servers that stay have slots.
		burst    = 14
		interval = 200 * time.Millisecond
	)
	leaver := newServer(d, 2, "desk", "galle", 2)
	servers := []*server{newServer(d, 0, "desk", "colombo", 1), newServer(d, 1, "desk", "kandy", 1), leaver}
	for _, s := range servers {
		s.work = 150 * time.Millisecond
		if s == leaver {
			s.work = 400 * time.Millisecond
		}
		if err := s.start(); err != nil {
			return "", err
		}
	}
	if err := startOthers(d); err != nil {
		return "", err
	}
	time.Sleep(4 * contactTime) // all machines are in touch, and the core is stable
	c := newClient(d.gateways[0])
	for range 3 {
		if a := c.send(http.MethodPost, "/hold/a", []byte("x"), 2*time.Second); a.status != http.StatusOK {
			return "", fmt.Errorf("the deployment serves nothing: %d %v", a.status, a.err)
		}
	}
	time.Sleep(time.Second)
	ack, err := leaver.drain()
	if err != nil {
		return "", err
	}
	if hasTrouble {
		time.Sleep(50 * time.Millisecond)
		d.record.printf("%s is partitioned from control for %v", leaver.id, cutFor)
		leaver.isCut.Store(true)
		time.AfterFunc(cutFor, func() {
			leaver.isCut.Store(false)
			d.record.printf("%s reaches control again", leaver.id)
		})
	}
	time.Sleep(time.Until(ack.Add(drainTime + 1400*time.Millisecond)))
	time.AfterFunc(time.Until(ack.Add(exitAfter)), leaver.exit)
	answers := make(chan answer, 1000)
	var bookings sync.WaitGroup
	for time.Now().Before(ack.Add(exitAfter)) {
		for range burst {
			bookings.Go(func() { answers <- c.send(http.MethodPost, "/hold/b", []byte("x"), 2*time.Second) })
		}
		time.Sleep(interval)
	}
	bookings.Wait()
	close(answers)
	var late, lost []string
	for a := range answers {
		leaver.mu.Lock()
		at, arrived := leaver.arrivals[a.id]
		ran := leaver.runs[a.id] > 0
		leaver.mu.Unlock()
		if !arrived || at.Before(ack.Add(drainTime)) {
			continue
		}
		late = append(late, fmt.Sprintf("%s arrived %d ms after the ack", a.id, at.Sub(ack).Milliseconds()))
		if ran && a.status != http.StatusOK {
			lost = append(lost, fmt.Sprintf("%s ran and was answered %d", a.id, a.status))
		}
	}
	if len(late) == 0 {
		return "", nil
	}
	return "DRAIN: " + strings.Join(append(late, lost...), "; "), nil
}
