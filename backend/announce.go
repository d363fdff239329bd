package backend

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
	"github.com/valyala/fasthttp"
)

// Announcements receives what backend servers say of themselves.
type Announcements interface {
	// Announced renews the server's lease and returns its duration.
	Announced(s fleet.BackendServer) time.Duration
}

const maxAnnounceBytes = 64 << 10

// NewServer returns the HTTP server for backend servers.
func NewServer(a Announcements) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:            func(ctx *fasthttp.RequestCtx) { handle(ctx, a) },
		MaxRequestBodySize: maxAnnounceBytes,
		Name:               "balsamlb",
	}
}

func handle(ctx *fasthttp.RequestCtx, a Announcements) {
	if string(ctx.Path()) != PathAnnounce || !ctx.IsPost() {
		ctx.Error("not found", fasthttp.StatusNotFound)
		return
	}
	var s fleet.BackendServer
	if err := json.Unmarshal(ctx.PostBody(), &s); err != nil {
		ctx.Error("announcement: "+err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if reason := checkAnnouncement(s); reason != "" {
		ctx.Error("announcement: "+reason, fasthttp.StatusBadRequest)
		return
	}
	ttl := a.Announced(s)
	body, err := json.Marshal(AnnounceReply{LeaseMillis: ttl.Milliseconds()})
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func checkAnnouncement(s fleet.BackendServer) string {
	switch {
	case s.Name == "":
		return "name is required"
	case s.Incarnation == 0:
		return "incarnation must be above 0"
	case s.DataCentre == "":
		return "data_centre is required"
	case s.Slots <= 0:
		return "slots must be above 0"
	case s.Model != "" && (s.Layers.From < 0 || s.Layers.To <= s.Layers.From):
		return "layers must be a range that is not empty"
	}
	if _, err := netip.ParseAddrPort(s.Address); err != nil {
		return "address must be an IP address and port"
	}
	return ""
}
