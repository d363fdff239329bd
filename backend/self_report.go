package backend

import (
	"github.com/balsamlb/balsamlb/selfreport"
	"github.com/valyala/fasthttp"
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

func parseSelfReport(resp *fasthttp.Response) SelfReport {
	s := SelfReport{IsHeard: true, IsLeaving: string(resp.Header.Peek(HeaderLeaving)) == "1"}
	s.Limit, s.HasLimit = selfreport.ParseLimit(string(resp.Header.Peek(HeaderLimit)))
	if pause := resp.Header.Peek(HeaderRetryAfter); resp.StatusCode() == fasthttp.StatusServiceUnavailable && len(pause) > 0 {
		s.HasPause, s.Pause = true, selfreport.ParsePause(string(pause))
	}
	return s
}
