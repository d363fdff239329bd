package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// rolled is one process whose build is changed during the run.
type rolled struct {
	process *Process
	ip      string
	gateway bool
	mu      sync.Mutex
	// startedAt is the time of the last start. away is set from before the process is stopped, killed or
	// paused until it runs again.
	startedAt time.Time
	away      bool
	ends      int
	// newest is the highest version that the gateway has shown since its start.
	newest int
}

func (r *rolled) state() (up time.Duration, away bool, ends int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.startedAt), r.away, r.ends
}

const rolledSettings = `[instance]
name = %[1]s
data_centre = z%[2]d

[listen]
instances = %[3]s:8300
metrics = %[3]s:9109
%[4]s
[join]
seeds = %[5]s

[fleet]
announce_interval_ms = 1000

[limits]
grace_s = 8
memory_mb = 280
`

func (r *rollout) ip(block, i int) string { return fmt.Sprintf("127.%d.%d.%d", r.net, block, i+1) }

func (r *rollout) add(folder, role string, i int) *rolled {
	block, own := 1, fmt.Sprintf("control = %s:8101\n\n[control]\ndata_folder = %s\nfounding = true\ntolerate = 2\n", r.ip(1, i), filepath.Join(folder, fmt.Sprint("data-", i)))
	if role == "gateway" {
		block, own = 2, fmt.Sprintf("callers = %[1]s:8201\nready = %[1]s:8202\n\n[retry]\nratio = 0.2\nreserve = 100\nwindow_s = 10\n", r.ip(2, i))
	}
	name := fmt.Sprintf("%s-%d", role, i)
	seeds := r.ip(1, 0) + ":8101," + r.ip(1, 1) + ":8101," + r.ip(1, 2) + ":8101"
	path := filepath.Join(folder, name+".ini")
	text := fmt.Sprintf(rolledSettings, name, i%3, r.ip(block, i), own, seeds)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		r.t.Fatal(err)
	}
	return &rolled{process: newProcess(name, filepath.Join(folder, name+".log"), "", role, "-settings", path), ip: r.ip(block, i), gateway: role == "gateway"}
}

func (r *rollout) start(p *rolled, build int) {
	p.process.path = r.builds[build]
	r.startAgain(p)
}

// startAgain starts the process with the build that it had.
func (r *rollout) startAgain(p *rolled) {
	if err := p.process.Start(); err != nil {
		r.t.Error(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.startedAt, p.away, p.newest = time.Now(), false, 0
}

// leave marks the process as away and says whether it was there.
func (p *rolled) leave() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.away {
		return false
	}
	p.away = true
	p.ends++
	return true
}

// replace ends the process as an operator does and starts it with the build.
func (r *rollout) replace(p *rolled, build int) {
	for !p.leave() {
		time.Sleep(50 * time.Millisecond)
	}
	p.process.Stop()
	r.start(p, build)
}

// roll gives all processes the build in a random order, gateways some at once. halfway
// ends the roll after half of them.
func (r *rollout) roll(ctx context.Context, build int, halfway bool) {
	order := r.rng.Perm(rolledControls + rolledGateways)
	if halfway {
		order = order[:len(order)/2]
	}
	for len(order) > 0 && ctx.Err() == nil {
		count := min(len(order), 1+r.rng.IntN(3))
		var g errgroup.Group
		controls := 0
		var later []int
		for _, i := range order[:count] {
			p := append(r.controls, r.gateways...)[i]
			if !p.gateway {
				if controls++; controls > 1 {
					later = append(later, i)
					continue
				}
			}
			g.Go(func() error { r.replace(p, build); return nil })
		}
		_ = g.Wait()
		order = append(order[count:], later...)
		r.pause(ctx, time.Duration(200+r.rng.IntN(800))*time.Millisecond)
	}
}

// killAll ends all processes at once and starts them again, each with its build.
func (r *rollout) killAll(all []*rolled) {
	for _, p := range all {
		for !p.leave() {
			time.Sleep(50 * time.Millisecond)
		}
	}
	var g errgroup.Group
	for _, p := range all {
		g.Go(func() error {
			p.process.Kill()
			r.startAgain(p)
			return nil
		})
	}
	_ = g.Wait()
}

// disturb kills and pauses processes now and then, at most one control instance and one gateway at a time. It
// is beside the roll, which takes one control instance at a time.
func (r *rollout) disturb(ctx context.Context, rng *rand.Rand, ps []*rolled) error {
	for ctx.Err() == nil {
		r.pause(ctx, time.Duration(1500+rng.IntN(3000))*time.Millisecond)
		p := ps[rng.IntN(len(ps))]
		if ctx.Err() != nil || !p.leave() {
			continue
		}
		d := time.Duration(200+rng.IntN(1500)) * time.Millisecond
		if rng.IntN(2) == 0 {
			p.process.Kill()
			time.Sleep(d)
			r.startAgain(p)
			continue
		}
		p.process.Freeze()
		time.Sleep(d)
		p.process.Thaw()
		time.Sleep(500 * time.Millisecond)
		p.mu.Lock()
		p.away = false
		p.mu.Unlock()
	}
	return nil
}
