package backend

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
	"github.com/valyala/fasthttp"
)

// Announcement is what a backend server reports about itself.
type Announcement struct {
	fleet.BackendServer
	// Last is the grant in the instance's latest reply, and LastAgeMillis the time since that reply
	// arrived at the server. From both, the instance determines the age of an announcement that was
	// delayed in transit. Both are optional.
	Last          string `json:"last,omitempty"`
	LastAgeMillis uint64 `json:"last_age_ms,omitempty"`
}

// Renewal renews the lease of a server that has nothing new to report except its load.
type Renewal struct {
	Name          string `json:"name"`
	Incarnation   uint64 `json:"incarnation"`
	Sequence      uint64 `json:"sequence"`
	Running       int    `json:"running,omitempty"`
	Queued        int    `json:"queued,omitempty"`
	Last          string `json:"last,omitempty"`
	LastAgeMillis uint64 `json:"last_age_ms,omitempty"`
}

// AnnounceReply is the response to an announcement or a renewal.
type AnnounceReply struct {
	LeaseMillis int64 `json:"lease_ms"`
	// NextMillis is the delay after which the server should announce itself again.
	NextMillis int64 `json:"next_ms"`
	// Grant identifies this reply. The server sends it back with its next announcement.
	Grant string `json:"grant"`
}

// AnnouncementHandler handles the announcements and renewals of backend servers. Its errors
// are those of fleet.Registry.
type AnnouncementHandler interface {
	// HandleAnnouncement records the announcement and renews the server's lease.
	HandleAnnouncement(a Announcement) (AnnounceReply, error)
	// HandleRenewal renews a lease that this instance granted. It returns false if this instance
	// has no such lease; the server must then send a full announcement.
	HandleRenewal(r Renewal) (AnnounceReply, bool, error)
}

const maxAnnounceBytes = 64 << 10

// announceIdleTimeout is how long a connection is kept without an announcement. Backend servers
// announce themselves every second or so, and those that retry open new connections.
const announceIdleTimeout = 10 * time.Second

// NewServer returns the HTTP server that receives announcements and renewals.
func NewServer(a AnnouncementHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               func(ctx *fasthttp.RequestCtx) { handle(ctx, a) },
		MaxRequestBodySize:    maxAnnounceBytes,
		IdleTimeout:           announceIdleTimeout,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		NoDefaultContentType:  true,
	}
}

func handle(ctx *fasthttp.RequestCtx, a AnnouncementHandler) {
	path := string(ctx.Path())
	switch {
	case path == PathAnnounce && ctx.IsPost():
		handleAnnouncement(ctx, a)
	case path == PathRenew && ctx.IsPost():
		handleRenewal(ctx, a)
	default:
		ctx.Error("not found", fasthttp.StatusNotFound)
	}
}

func handleAnnouncement(ctx *fasthttp.RequestCtx, a AnnouncementHandler) {
	var s Announcement
	if err := json.Unmarshal(ctx.PostBody(), &s); err != nil {
		ctx.Error("announcement: "+err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if reason := checkAnnouncement(s.BackendServer); reason != "" {
		ctx.Error("announcement: "+reason, fasthttp.StatusBadRequest)
		return
	}
	reply, err := a.HandleAnnouncement(s)
	writeReply(ctx, reply, err)
}

func handleRenewal(ctx *fasthttp.RequestCtx, a AnnouncementHandler) {
	var r Renewal
	if err := json.Unmarshal(ctx.PostBody(), &r); err != nil {
		ctx.Error("renewal: "+err.Error(), fasthttp.StatusBadRequest)
		return
	}
	reply, ok, err := a.HandleRenewal(r)
	if !ok {
		ctx.Error("renewal: no lease here; announce in full", fasthttp.StatusNotFound)
		return
	}
	writeReply(ctx, reply, err)
}

func writeReply(ctx *fasthttp.RequestCtx, reply AnnounceReply, err error) {
	switch {
	case errors.Is(err, fleet.ErrFull):
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	case err != nil:
		ctx.Error(err.Error(), fasthttp.StatusConflict)
		return
	}
	// AnnounceReply holds only strings and numbers, so encoding can't fail.
	body, _ := json.Marshal(reply)
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
	case s.Layers.To > fleet.MaxLayers:
		return fmt.Sprintf("layers must not go beyond %d", fleet.MaxLayers)
	}
	if _, err := netip.ParseAddrPort(s.Address); err != nil {
		return "address must be an IP address and port"
	}
	return ""
}
