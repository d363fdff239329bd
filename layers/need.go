package layers

import "github.com/balsamlb/balsamlb/routing"

// rangeForNeed returns the range of an empty server that serves a need for room best. It returns false if the room
// suffices, or if the server is one of the fast servers of the main chain.
func rangeForNeed(e *routing.Engine, group []Server, main chain, i int, need float64) (candidate, bool) {
	if need <= 0 || e.Accelerators[group[i].Accelerator].StepFactor <= main.slowestStepFactor {
		return candidate{}, false
	}
	s := newSupply(e, group)
	if r := s.total(); r.Limit == LimitNoCopy || r.Drafts >= need {
		return candidate{}, false
	}
	return s.bestMove(need, func(server *Server) bool { return server.ID == group[i].ID }, true)
}

// lacksRoom reports whether a range of a server leaves less room than is needed and than there is now.
func lacksRoom(e *routing.Engine, group []Server, i, from, to int, need float64) bool {
	if need <= 0 {
		return false
	}
	s := newSupply(e, group)
	after := s.with(i, from, to).Drafts
	return after < need && after < s.total().Drafts
}
