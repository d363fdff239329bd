package dispatch

import "time"

// recordSilence records that a server did not answer in time, so that other requests avoid it. It is
// no sign of a crash: the server may go on with what it runs.
func (run *draftRun) recordSilence(server string) {
	if run.silent[server] {
		return
	}
	run.silent[server] = true
	rs := run.d.resilience
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.health.Failed(time.Now(), server)
}

// endSilence records that a silent server answers again.
func (run *draftRun) endSilence(server string) {
	if !run.silent[server] {
		return
	}
	delete(run.silent, server)
	rs := run.d.resilience
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.health.Succeeded(server)
}
