package dispatch

import (
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/pipeline"
	"github.com/rotisserie/eris"
)

// open connects to a stage and reads its frames until the connection ends.
func (run *draftRun) open(a pipeline.Open) {
	open := backend.OpenStageRequest{
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
		run.readFrames(a.Conn, a.Chain[a.Stage].Server, open)
		return nil
	})
}

// openStage opens a connection to a stage. A server that takes no new work gets only the stages that it
// runs already.
func (run *draftRun) openStage(server fleet.BackendServer, open backend.OpenStageRequest) (*backend.Conn, error) {
	trials, isFree := run.d.beginTrial(server)
	if !isFree && !run.wasConnected(server.Name) {
		return nil, eris.Wrapf(backend.ErrRefused, "dispatch: open stage on %s: it takes no new work now", server.Name)
	}
	sent := time.Now()
	c, said, err := backend.OpenStage(run.ctx, open)
	run.d.recordSelfReport(run.r.ID, server, said)
	run.d.recordLimit(sent, run.r.ID, server, said)
	run.d.endTrial(trials, err == nil)
	return c, err
}

func (run *draftRun) readFrames(conn int, server fleet.BackendServer, open backend.OpenStageRequest) {
	c, err := run.openStage(server, open)
	if err != nil {
		if backend.WasClosed(err) {
			run.markConnected(open.Chain[open.Stage].Server)
		}
		run.reportEnd(connEvent{conn: conn, reason: failureReason(err, pipeline.ReasonDial), err: err})
		return
	}
	defer c.Close()
	if !run.addConn(conn, server.Name, c) {
		return
	}
	for {
		f, err := c.Next()
		if err != nil {
			run.reportEnd(connEvent{conn: conn, reason: failureReason(err, pipeline.ReasonClosed), err: err})
			return
		}
		if run.inbox.Push(run.ctx, connEvent{conn: conn, server: server.Name, frame: f}) != nil || f.Kind == backend.FrameEnd {
			return
		}
	}
}

func (run *draftRun) reportEnd(e connEvent) {
	if run.isOpen(e.conn) && run.ctx.Err() == nil {
		run.log.Info("stage connection ended", "reason", string(e.reason), "err", e.err.Error())
	}
	// Push fails only when the run has ended.
	_ = run.inbox.Push(run.ctx, e)
}

func (run *draftRun) isOpen(conn int) bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	_, ok := run.conns[conn]
	return ok
}

// addConn stores an open connection. It returns false if the run closed the connection in the
// meantime.
func (run *draftRun) addConn(conn int, server string, c *backend.Conn) bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	if _, ok := run.conns[conn]; !ok {
		return false
	}
	run.conns[conn] = c
	run.connected[server] = true
	return true
}

// markConnected records that the server has received the request.
func (run *draftRun) markConnected(server string) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.connected[server] = true
}

// wasConnected reports whether the server has received the request.
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

// start commands the first stage to generate tokens. If that fails, it reports that the connection
// to the first stage has ended.
func (run *draftRun) start(a pipeline.Start) {
	run.mayHaveRun = true
	run.group.Go(func() error {
		err := backend.StartStage(run.ctx, stageRef(a.Stage), backend.StartRequest{
			Request: run.r.ID, Attempt: a.Attempt, Index: a.Index, Previous: a.Previous,
		})
		if err != nil {
			run.reportEnd(connEvent{conn: a.Conn, reason: failureReason(err, pipeline.ReasonDial), err: err})
		}
		return nil
	})
}

func stageRef(st pipeline.Stage) backend.StageRef {
	return backend.StageRef{Server: st.Server.Name, Address: st.Server.Address, Layers: st.Layers}
}

// stageRefs returns the chain in the form that is sent to the backend servers.
func stageRefs(chain pipeline.Chain) []backend.StageRef {
	refs := make([]backend.StageRef, len(chain))
	for i, st := range chain {
		refs[i] = stageRef(st)
	}
	return refs
}

// clip returns a copy of the server that holds only the layers within r, numbered from the start of
// r, or false if the server can run none of these layers. The layers of a server without support
// for partial ranges must all lie within r.
func clip(s fleet.BackendServer, r fleet.Range) (fleet.BackendServer, bool) {
	part := fleet.Range{From: max(s.Layers.From, r.From), To: min(s.Layers.To, r.To)}
	if part.Len() <= 0 || (!s.PartialRange && part != s.Layers) {
		return s, false
	}
	fraction := float64(part.Len()) / float64(s.Layers.Len())
	s.StepMicros = int(float64(s.StepMicros) * fraction)
	s.PrefillMicros = int(float64(s.PrefillMicros) * fraction)
	s.Layers = fleet.Range{From: part.From - r.From, To: part.To - r.From}
	return s, true
}
