package backend

import "github.com/valyala/fasthttp"

// SelfReport is what a backend server says about itself in a response.
type SelfReport struct {
	// IsLeaving means that the server leaves: it accepts no new work.
	IsLeaving bool
}

func parseSelfReport(resp *fasthttp.Response) SelfReport {
	return SelfReport{IsLeaving: string(resp.Header.Peek(HeaderLeaving)) == "1"}
}
