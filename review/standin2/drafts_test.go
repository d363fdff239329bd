//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// draftConfig is a configuration with a model service and a plain one.
const draftConfig = `{"Version":5,"Routes":[
{"Name":"r-hold","Hostname":"shop.example","PathPrefix":"/hold/","Kind":"non_idempotent","TimeoutMs":4000,"TargetLatencyMs":300,"Priority":2,"Service":"order-desk","MaxAttempts":2,"AllowAnonymous":false},
{"Name":"r-check","Hostname":"shop.example","PathPrefix":"/check/","Kind":"idempotent","TimeoutMs":4000,"TargetLatencyMs":300,"Priority":2,"Service":"order-desk","MaxAttempts":2,"AllowAnonymous":false},
{"Name":"r-guide","Hostname":"shop.example","PathPrefix":"/guide/","Kind":"streaming","TimeoutMs":20000,"TargetLatencyMs":500,"Priority":1,"Service":"advice-llm","MaxAttempts":2,"AllowAnonymous":false,"Sticky":true,"CanResume":true,"GapTargetMs":250}],
"Services":[{"Name":"order-desk","HealthPath":"/health","MaxConns":100,"Protocol":"h1","Tls":false},
{"Name":"advice-llm","HealthPath":"/health","MaxConns":968,"Protocol":"h1","Tls":false,"Engine":{"Slots":192,"KvTokens":100000,"KvBytes":590000,"LinkMbps":400000.0,"Stride":4,"Models":[{"Name":"daka510000","pace":1.0,"LoadS":14.0,"WarmS":1.0}],"step_ms":1.02,"per_seq_ms":0.00459,"context_per_k":0.00615,"read_per_s":164000.0,"pairs_per_m":0.199,"chunk":512,"report_lag_ms":200.0,"LoadsPerS":0.0,"loads_at_once":6,"delays":[],"usual":{"prompt":800,"answer":80},"Layers":80,"LayerMb":1750.0,"ActivationBytes":29500,"CrossZoneMbps":16000.0,"Kinds":[{"Name":"a100","Mb":72000.0,"pace":2.4,"ReadFactor":3.2}]}}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"hule930","ApiKeys":["n2ctnfzs989anu6wsjnb"],"Priority":1}]}`

// startDrafts starts a deployment with three gateways, and in each data centre a plain worker and model workers that
// hold one copy of the model.
func startDrafts(r *record) (*deployment, error) {
	var workers []*worker
	for i := range zones {
		workers = append(workers, newDesk(i))
	}
	d, err := startPlain(r, 3, workers)
	if err != nil {
		return d, err
	}
	for i, zone := range zones {
		for k, bounds := range [][2]int{{0, 30}, {30, 60}, {60, 80}} {
			if _, err := startEngine(d, fmt.Sprintf("i-llm-%s-%d", zone, k), zone, 3*i+k+1, bounds[0], bounds[1]); err != nil {
				return d, err
			}
		}
	}
	if err := d.configure([]byte(draftConfig), 5*time.Second); err != nil {
		return d, err
	}
	time.Sleep(contactTime)
	return d, nil
}

// largePrompt is what a misbehaving client states: a prompt of 50 times the memory of a worker, and a long answer.
const largePrompt = "5000000,3000"

// largePrompts: clients that the operator doesn't control send, one at each gateway and once a second, a request whose
// prompt is larger than the memory of any worker. All other requests are sound.
func largePrompts(r *record, hasTrouble bool) error {
	d, err := startDrafts(r)
	if d != nil {
		defer d.stopAll()
	}
	if err != nil {
		return err
	}
	var mu sync.Mutex
	sent, served := make(map[string]int), make(map[string]int)
	count := func(kind string, isServed bool) {
		mu.Lock()
		defer mu.Unlock()
		sent[kind]++
		if isServed {
			served[kind]++
		}
	}
	var wait sync.WaitGroup
	end := time.Now().Add(40 * time.Second)
	each := func(g *machine, interval time.Duration, send func(c *consumer)) {
		wait.Go(func() {
			c := &consumer{record: r, address: d.front(g)}
			defer c.close()
			for at := time.Now(); at.Before(end); at = at.Add(interval) {
				time.Sleep(time.Until(at))
				send(c)
			}
		})
	}
	for _, g := range d.gateways {
		for range 4 {
			each(g, time.Second, func(c *consumer) {
				res := c.do(http.MethodPost, "/guide/1", plainKey, "{}", 20*time.Second, "Balsamlb-Token-Counts: 800,80")
				count("drafts", res.status == http.StatusOK && res.err == nil && strings.Contains(res.body, fmt.Sprintf("id: %d\n", streamEvents)))
			})
			each(g, time.Second, func(c *consumer) {
				res := c.do(http.MethodPost, "/hold/1", plainKey, `{"hold":1}`, 4*time.Second)
				count("bookings", res.status == http.StatusOK && res.err == nil)
			})
		}
		if hasTrouble {
			each(g, time.Second, func(c *consumer) {
				res := c.do(http.MethodPost, "/guide/2", plainKey, "{}", 20*time.Second, "Balsamlb-Token-Counts: "+largePrompt)
				r.line("a request with a prompt that is too large, %s, was answered %d", largePrompt, res.status)
			})
		}
	}
	wait.Wait()
	r.line("sent %v, served %v", sent, served)
	if sent["drafts"] == 0 || served["bookings"] == 0 {
		return errors.New("nothing was sent or served")
	}
	drafts := float64(served["drafts"]) / float64(sent["drafts"])
	all := float64(served["drafts"]+served["bookings"]) / float64(sent["drafts"]+sent["bookings"])
	r.line("served: drafts %.3f, all requests %.3f", drafts, all)
	if drafts < all/4 {
		r.breakRule("Starved: %d of %d sound drafts were served, %.3f, and of all requests %.3f", served["drafts"], sent["drafts"], drafts, all)
	}
	return nil
}
