package dispatch

import (
	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/pipeline"
)

// open connects to a stage and reads its frames until the connection ends.
func (run *draftRun) open(a pipeline.Open) {
	open := backend.StageOpen{
		Request:      run.r.ID,
		Attempt:      a.Attempt,
		Workspace:    run.r.Workspace.Name,
		Chain:        stageRefs(a.Chain),
		Stage:        a.Stage,
		Prompt:       run.r.Prompt,
		PromptTokens: run.r.PromptTokens,
		MaxTokens:    run.r.MaxTokens,
		From:         a.From,
		Fresh:        a.IsFresh,
		Ready:        a.Ready,
	}
	if a.Ready > 0 {
		open.Text = a.Text
	}
	if a.Import != nil {
		ref := stageRef(*a.Import)
		open.Import = &ref
	}
	run.mu.Lock()
	run.conns[a.Conn] = nil
	run.mu.Unlock()
	run.group.Go(func() error {
		run.read(a.Conn, open)
		return nil
	})
}

func (run *draftRun) read(conn int, open backend.StageOpen) {
	c, err := backend.OpenStage(run.ctx, open)
	if err != nil {
		if backend.WasClosed(err) {
			run.noteConnected(open.Chain[open.Stage].Server)
		}
		run.report(connEvent{conn: conn, reason: failureReason(err, pipeline.ReasonDial), err: err})
		return
	}
	defer c.Close()
	if !run.keep(conn, open.Chain[open.Stage].Server, c) {
		return
	}
	for {
		f, err := c.Next()
		if err != nil {
			run.report(connEvent{conn: conn, reason: failureReason(err, pipeline.ReasonClosed), err: err})
			return
		}
		if run.inbox.Push(run.ctx, connEvent{conn: conn, frame: f}) != nil || f.Kind == backend.FrameEnd {
			return
		}
	}
}

func (run *draftRun) report(e connEvent) {
	if run.isOpen(e.conn) && run.ctx.Err() == nil {
		run.log.Info("a connection has ended", "reason", string(e.reason), "err", e.err.Error())
	}
	// The push fails only when the run has ended.
	_ = run.inbox.Push(run.ctx, e)
}

func (run *draftRun) isOpen(conn int) bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	_, ok := run.conns[conn]
	return ok
}

// keep notes an open connection, unless it was closed meanwhile.
func (run *draftRun) keep(conn int, server string, c *backend.Conn) bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	if _, ok := run.conns[conn]; !ok {
		return false
	}
	run.conns[conn] = c
	run.connected[server] = true
	return true
}

// noteConnected notes that the server has had the request.
func (run *draftRun) noteConnected(server string) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.connected[server] = true
}

// wasConnected reports whether the server has had the request.
func (run *draftRun) wasConnected(server string) bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.connected[server]
}

func (run *draftRun) close(conn int) {
	run.mu.Lock()
	defer run.mu.Unlock()
	if c := run.conns[conn]; c != nil {
		c.Close()
	}
	delete(run.conns, conn)
}

// start tells the first stage to begin. A failure is one of the first stage's connection.
func (run *draftRun) start(a pipeline.Start) {
	run.ran = true
	run.group.Go(func() error {
		err := backend.StartStage(run.ctx, stageRef(a.Stage), backend.Start{
			Request: run.r.ID, Attempt: a.Attempt, Index: a.Index, Previous: a.Previous,
		})
		if err != nil {
			run.report(connEvent{conn: a.Conn, reason: pipeline.ReasonDial, err: err})
		}
		return nil
	})
}

func stageRef(st pipeline.Stage) backend.StageRef {
	return backend.StageRef{Server: st.Server.Name, Address: st.Server.Address, Layers: st.Layers}
}

// stageRefs returns the chain as the backend servers are told it.
func stageRefs(chain pipeline.Chain) []backend.StageRef {
	refs := make([]backend.StageRef, len(chain))
	for i, st := range chain {
		refs[i] = stageRef(st)
	}
	return refs
}

// clip returns the server as one that holds only layers within the range, counted from its
// start, or false when it can run none of them. A server that can't run a part of its layers
// must lie within the range as a whole.
func clip(s fleet.BackendServer, r fleet.Range) (fleet.BackendServer, bool) {
	part := fleet.Range{From: max(s.Layers.From, r.From), To: min(s.Layers.To, r.To)}
	if part.Len() <= 0 || (!s.PartialRange && part != s.Layers) {
		return s, false
	}
	share := float64(part.Len()) / float64(s.Layers.Len())
	s.StepMicros = int(float64(s.StepMicros) * share)
	s.PrefillMicros = int(float64(s.PrefillMicros) * share)
	s.Layers = fleet.Range{From: part.From - r.From, To: part.To - r.From}
	return s, true
}
