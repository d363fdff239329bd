package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// denials is what one gateway answers to requests for a route that exists and for one that doesn't.
type denials struct {
	mu sync.Mutex
	// firstServed is when the route that exists was first served since the gateway's start.
	firstServed time.Time
	// heldSince is when the gateway began to answer 503 for the route that doesn't exist; zero: it answers 404.
	heldSince time.Time
	// unserved counts other answers than 200 for the route that exists; held and denied count those for the other.
	unserved, held, denied int
	longest                time.Duration
}

func (d *denials) observe(exists bool, status int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	switch {
	case exists && status == http.StatusOK:
		if d.firstServed.IsZero() {
			d.firstServed = now
		}
	case exists:
		d.unserved++
	case status == http.StatusServiceUnavailable && !d.firstServed.IsZero():
		d.held++
		if d.heldSince.IsZero() {
			d.heldSince = now
		}
		d.longest = max(d.longest, now.Sub(d.heldSince))
	case status == http.StatusNotFound:
		d.denied++
		d.heldSince = time.Time{}
	}
}

// ask asks a gateway in turn for both routes until ctx ends.
func (r *rollout) ask(ctx context.Context, p *rolled, d *denials) error {
	c := &http.Client{Timeout: callerPatience, Transport: &http.Transport{MaxConnsPerHost: 1}}
	for n := 0; ctx.Err() == nil; n++ {
		r.pause(ctx, 10*time.Millisecond)
		_, away, ends := p.state()
		path := []string{"/v1/x", "/absent/x"}[n%2]
		status, _, err := call(c, http.MethodGet, "http://"+p.ip+":8201"+path, nil)
		if _, awayNow, endsNow := p.state(); err == nil && !away && !awayNow && ends == endsNow && ctx.Err() == nil {
			d.observe(n%2 == 0, status)
		}
	}
	return nil
}

// reportDenials logs what the gateways have answered since the last report, checks it, and begins anew.
func (r *rollout) reportDenials(phase string, all []*denials) {
	var unserved, held, denied int
	var longest, slowest time.Duration
	for i, d := range all {
		d.mu.Lock()
		unserved, held, denied = unserved+d.unserved, held+d.held, denied+d.denied
		longest = max(longest, d.longest)
		r.gateways[i].mu.Lock()
		slowest = max(slowest, d.firstServed.Sub(r.gateways[i].startedAt))
		r.gateways[i].mu.Unlock()
		d.unserved, d.held, d.denied, d.longest = 0, 0, 0, 0
		d.mu.Unlock()
	}
	r.t.Logf("%.1f s %s: %d refusals of a route that exists, %d true denials, %d held back for %s at most, first served %s after a start at the latest",
		time.Since(r.began).Seconds(), phase, unserved, denied, held, longest.Round(time.Millisecond), slowest.Round(time.Millisecond))
	if longest > documentBound {
		r.fault("%s: a gateway held back true denials for %s", phase, longest)
	}
	if unserved > 0 {
		r.fault("%s: %d requests for a route that exists were refused", phase, unserved)
	}
}

// Control instances of builds that confirm no documents made gateways of this build refuse what they should serve, or
// hold back true denials for as long as one control instance of this build was cut off.
func TestGatewaysBesideControlInstancesThatConfirmNothing(t *testing.T) {
	t.Parallel()
	old := os.Getenv("BALSAMLB_OLD")
	if old == "" {
		t.Skip("BALSAMLB_OLD names no build that confirms no documents")
	}
	const gateways = 4
	builds := [2]string{old, environment("BALSAMLB_NEW", filepath.Join(binFolder, "balsamd"))}
	r := &rollout{t: t, rng: rand.New(rand.NewPCG(1, 46)), builds: builds, net: 50, began: time.Now()}
	folder := environment("BALSAMLB_FOLDER", t.TempDir())
	for i := range rolledControls {
		r.controls = append(r.controls, r.add(folder, "controller", i))
		r.start(r.controls[i], 0)
		t.Cleanup(r.controls[i].process.Kill)
	}
	ctx, stop := context.WithCancel(t.Context())
	var g errgroup.Group
	defer func() { stop(); _ = g.Wait() }()
	r.serveBackends(ctx, &g)
	answers := make([]*denials, gateways)
	start := func() {
		for i := range answers {
			answers[i].firstServed, answers[i].heldSince = time.Time{}, time.Time{}
			r.start(r.gateways[i], 1)
		}
	}
	for i := range answers {
		answers[i] = &denials{}
		r.gateways = append(r.gateways, r.add(folder, "gateway", i))
		t.Cleanup(r.gateways[i].process.Kill)
	}
	publishing, published := context.WithCancel(ctx)
	g.Go(func() error { return r.publish(publishing, r.rng) })
	for r.due() == 0 {
		r.pause(ctx, 50*time.Millisecond)
	}
	published()
	start()
	for i, d := range answers {
		g.Go(func() error { return r.ask(ctx, r.gateways[i], d) })
	}
	r.pause(ctx, settledAfter)
	r.reportDenials("control instances of the older build", answers)

	for i, p := range r.controls {
		r.replace(p, 1)
		r.pause(ctx, documentBound)
		r.reportDenials(fmt.Sprintf("%d of 5 replaced", i+1), answers)
		if i != 1 && i != 2 {
			continue
		}
		for _, p := range r.controls { // each in turn leads or not
			p.leave()
			p.process.Kill()
			r.pause(ctx, time.Second)
			r.startAgain(p)
			r.pause(ctx, documentBound)
		}
		r.reportDenials(fmt.Sprintf("%d of 5 replaced, each killed in turn", i+1), answers)
		for _, p := range r.gateways {
			p.leave()
			p.process.Kill()
		}
		start()
		r.pause(ctx, settledAfter)
		r.reportDenials(fmt.Sprintf("%d of 5 replaced, gateways started anew", i+1), answers)
	}
	for i := range answers {
		if answers[i].firstServed.IsZero() {
			text, _ := os.ReadFile(r.gateways[i].process.LogPath)
			r.fault("%s has served nothing: %s", r.gateways[i].process.Name, text[max(0, len(text)-400):])
		}
	}
}
