package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/rotisserie/eris"
)

// naiveSilenceTimeout is the time without a frame after which the naive client gives up a chain.
// The system uses the same timeout.
const naiveSilenceTimeout = 700 * time.Millisecond

// naiveClient talks to the backend servers directly. When a stage fails, it sends the whole
// draft again to another chain.
type naiveClient struct {
	// chain returns a chain that avoids the failed servers.
	chain  func(failed map[string]bool) []backend.StageRef
	name   string
	prompt string
	tokens int
}

// stageFrame is a frame of one stage, or the error that ended its connection.
type stageFrame struct {
	stage int
	frame backend.Frame
	err   error
}

const naiveMaxTries = 5

func (n naiveClient) run(ctx context.Context, a *arrivals) {
	failed := make(map[string]bool)
	for try := range naiveMaxTries {
		server, err := n.try(ctx, fmt.Sprintf("%s-%d", n.name, try), n.chain(failed), a)
		if err == nil {
			return
		}
		if try == naiveMaxTries-1 {
			a.fail(eris.Wrapf(err, "bench: gave up after %d tries", naiveMaxTries))
		}
		failed[server] = true
	}
}

// try runs the draft on one chain. On an error it also returns the name of the server that failed.
func (n naiveClient) try(ctx context.Context, request string, chain []backend.StageRef, a *arrivals) (string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	frames := make(chan stageFrame, 64)
	var readers sync.WaitGroup
	defer readers.Wait()
	defer cancel()
	for stage := range chain {
		c, _, err := backend.OpenStage(ctx, backend.OpenStageRequest{
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
			readFrames(ctx, stage, c, frames)
		}()
	}
	return n.handleFrames(ctx, request, chain, frames, a)
}

func readFrames(ctx context.Context, stage int, c *backend.Conn, frames chan<- stageFrame) {
	defer c.Close()
	for {
		f, err := c.Next()
		select {
		case frames <- stageFrame{stage: stage, frame: f, err: err}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

func (n naiveClient) handleFrames(ctx context.Context, request string, chain []backend.StageRef, frames <-chan stageFrame, a *arrivals) (string, error) {
	lastSeen := make([]time.Time, len(chain))
	for i := range lastSeen {
		lastSeen[i] = time.Now()
	}
	opened := 0
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return "", ctx.Err()
		case now := <-tick.C:
			for i, seen := range lastSeen {
				if now.Sub(seen) > naiveSilenceTimeout {
					return chain[i].Server, eris.Errorf("bench: %s sent no frame in time", chain[i].Server)
				}
			}
		case f := <-frames:
			if f.err != nil {
				return chain[f.stage].Server, f.err
			}
			lastSeen[f.stage] = time.Now()
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
