package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/rotisserie/eris"
)

// naiveSilence is after how long without a frame the naive client gives a chain up, the same
// as the system.
const naiveSilence = 700 * time.Millisecond

// naiveClient talks to the backend servers itself. When a stage fails it sends the whole draft
// again to another chain.
type naiveClient struct {
	// chain returns a chain without the servers that have failed.
	chain  func(failed map[string]bool) []backend.StageRef
	name   string
	prompt string
	tokens int
}

// naiveFrame is a frame, or the failure, of one stage.
type naiveFrame struct {
	stage int
	frame backend.Frame
	err   error
}

const naiveTries = 5

func (n naiveClient) run(ctx context.Context, a *arrivals) {
	failed := make(map[string]bool)
	for try := range naiveTries {
		server, err := n.try(ctx, fmt.Sprintf("%s-%d", n.name, try), n.chain(failed), a)
		if err == nil {
			return
		}
		if try == naiveTries-1 {
			a.fail(eris.Wrapf(err, "bench: gave up after %d tries", naiveTries))
		}
		failed[server] = true
	}
}

// try runs one chain and returns the server that failed.
func (n naiveClient) try(ctx context.Context, request string, chain []backend.StageRef, a *arrivals) (string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	frames := make(chan naiveFrame, 64)
	var readers sync.WaitGroup
	defer readers.Wait()
	defer cancel()
	for stage := range chain {
		c, err := backend.OpenStage(ctx, backend.OpenStageRequest{
			Request: request, Attempt: 1, Chain: chain, Stage: stage, Fresh: true,
			Prompt: n.prompt, PromptTokens: promptTokens, MaxTokens: n.tokens,
		})
		if err != nil {
			return chain[stage].Server, err
		}
		context.AfterFunc(ctx, c.Close)
		readers.Add(1)
		go func() {
			defer readers.Done()
			readNaive(ctx, stage, c, frames)
		}()
	}
	return n.follow(ctx, request, chain, frames, a)
}

func readNaive(ctx context.Context, stage int, c *backend.Conn, frames chan<- naiveFrame) {
	defer c.Close()
	for {
		f, err := c.Next()
		select {
		case frames <- naiveFrame{stage: stage, frame: f, err: err}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

func (n naiveClient) follow(ctx context.Context, request string, chain []backend.StageRef, frames <-chan naiveFrame, a *arrivals) (string, error) {
	heard := make([]time.Time, len(chain))
	for i := range heard {
		heard[i] = time.Now()
	}
	opened := 0
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return "", ctx.Err()
		case now := <-tick.C:
			for i, h := range heard {
				if now.Sub(h) > naiveSilence {
					return chain[i].Server, eris.Errorf("bench: %s is silent", chain[i].Server)
				}
			}
		case f := <-frames:
			if f.err != nil {
				return chain[f.stage].Server, f.err
			}
			heard[f.stage] = time.Now()
			switch f.frame.Kind {
			case backend.FrameOpened:
				if opened++; opened == len(chain) {
					if err := backend.StartStage(ctx, chain[0], backend.StartRequest{Request: request, Attempt: 1}); err != nil {
						return chain[0].Server, err
					}
				}
			case backend.FrameToken:
				a.add(f.frame.Index)
			case backend.FrameEnd:
				return "", nil
			}
		}
	}
}
