package backend

import (
	"net/http"

	"github.com/balsamlb/balsamlb/selfreport"
)

// SelfReport is what a backend server says about itself in a response.
type SelfReport struct {
	// IsHeard means that there was a response.
	IsHeard bool
	// IsLeaving means that the server leaves: it accepts no new work.
	IsLeaving bool
	// HasLimit means that the server names the requests a second that it takes from all instances, Limit.
	HasLimit bool
	Limit    float64
	// HasPause means that the server has refused the request and asks for the pause Pause.
	HasPause bool
	Pause    selfreport.PauseRequest
}

func parseSelfReport(resp *http.Response) SelfReport {
	s := SelfReport{IsHeard: true, IsLeaving: resp.Header.Get(HeaderLeaving) == "1"}
	s.Limit, s.HasLimit = selfreport.ParseLimit(resp.Header.Get(HeaderLimit))
	if pause := resp.Header.Get(HeaderRetryAfter); resp.StatusCode == http.StatusServiceUnavailable && pause != "" {
		s.HasPause, s.Pause = true, selfreport.ParsePause(pause)
	}
	return s
}
