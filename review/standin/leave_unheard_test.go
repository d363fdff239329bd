//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// leaveUnheard has a gateway restarted as planned work, and later a server leave that says so at another
// control instance than the one that gets its heartbeats.
func leaveUnheard(d *deployment, hasTrouble bool) (string, error) {
	if err := d.startAll(3, plainConfig(3, 2000)); err != nil {
		return "", err
	}
	var servers []*server
	for i, zone := range []string{"colombo", "kandy", "galle"} {
		s := newServer(d, i, "desk", zone, 1) // heartbeats to controller-2
		if err := s.start(); err != nil {
			return "", err
		}
		servers = append(servers, s)
	}
	if err := startOthers(d); err != nil {
		return "", err
	}
	leaver, gateway := servers[0], d.gateways[0] // both in colombo
	time.Sleep(8 * time.Second)
	c := newClient(gateway)
	if a := c.send(http.MethodPost, "/hold/a", []byte("x"), 2*time.Second); a.status != http.StatusOK {
		return "", fmt.Errorf("the deployment serves nothing: %d %v", a.status, a.err)
	}
	if hasTrouble {
		if err := gateway.restart(); err != nil {
			return "", err
		}
		if err := gateway.awaitReady(10 * time.Second); err != nil {
			return "", err
		}
	}
	// Well beyond ContactMs, so that all machines are in touch and the core is stable.
	time.Sleep(4 * contactTime)
	c = newClient(gateway)
	for range 3 {
		if a := c.send(http.MethodPost, "/hold/b", []byte("x"), 2*time.Second); a.status != http.StatusOK {
			return "", fmt.Errorf("the deployment serves nothing: %d %v", a.status, a.err)
		}
	}
	for start, seq := time.Now(), leaver.seq.Load(); leaver.seq.Load() == seq; time.Sleep(20 * time.Millisecond) {
		if time.Since(start) > 3*heartbeatInterval {
			return "", fmt.Errorf("no heartbeats")
		}
	}
	time.Sleep(100 * time.Millisecond)
	ack, err := leaver.leave(d.controllers[0])
	if err != nil {
		return "", err
	}
	d.record.printf("%s is acknowledged as gone by controller-1", leaver.id)
	leaver.work = 400 * time.Millisecond
	time.Sleep(time.Until(ack.Add(drainTime + 200*time.Millisecond)))
	time.AfterFunc(200*time.Millisecond, leaver.exit)
	var late, lost []string
	for range 3 {
		a := c.send(http.MethodPost, "/hold/c", []byte("x"), 2*time.Second)
		leaver.mu.Lock()
		at, arrived := leaver.arrivals[a.id]
		leaver.mu.Unlock()
		if !arrived || at.Before(ack.Add(drainTime)) {
			continue
		}
		late = append(late, fmt.Sprintf("%s arrived %d ms after the ack", a.id, at.Sub(ack).Milliseconds()))
		if a.status != http.StatusOK {
			lost = append(lost, fmt.Sprintf("%s ran and was answered %d", a.id, a.status))
		}
	}
	if len(late) == 0 {
		return "", nil
	}
	return "DRAIN: " + strings.Join(append(late, lost...), "; "), nil
}
