package emulate

import (
	"context"
	"encoding/json"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

const (
	// announceInterval applies until an instance sets the time of the next announcement.
	announceInterval = 400 * time.Millisecond
	announceTimeout  = 300 * time.Millisecond
	// announceRetry is the delay before the next instance is tried.
	announceRetry = 50 * time.Millisecond
)

// announcer announces one server to one instance at a time, and switches to the next instance
// when an announcement fails.
type announcer struct {
	engine    *engine
	client    *fasthttp.Client
	instances []string
	current   int
	// lastAnnounced is the last full announcement that the current instance has answered, or nil.
	lastAnnounced *fleet.BackendServer
	reply         backend.AnnounceReply
	// repliedAt is the time at which reply was received. The instance read the clock value in reply
	// before that time.
	repliedAt time.Time
}

func newAnnouncer(e *engine, instances []string) *announcer {
	return &announcer{
		engine: e,
		client: &fasthttp.Client{
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			NoDefaultUserAgentHeader:  true,
		},
		instances: instances,
		current:   int(e.server.Incarnation) % len(instances),
	}
}

// announceLoop announces the server until ctx ends or the server crashes.
func (e *engine) announceLoop(ctx context.Context, instances []string) error {
	if len(instances) == 0 {
		return nil
	}
	a := newAnnouncer(e, instances)
	for {
		wait := announceInterval
		if !e.suppressesAnnouncements() {
			wait = a.announceNext()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-e.faults.crashed:
			return nil
		case <-e.announceNow:
		case <-time.After(wait):
		}
	}
}

func (e *engine) suppressesAnnouncements() bool {
	return e.faults.has(FaultMute) || e.faults.has(FaultFreeze)
}

// announceNext announces the server and returns the time to wait until the next announcement.
func (a *announcer) announceNext() time.Duration {
	if err := a.announce(); err != nil {
		a.lastAnnounced = nil
		a.current = (a.current + 1) % len(a.instances)
		return announceRetry
	}
	if a.reply.NextMillis > 0 {
		return time.Duration(a.reply.NextMillis) * time.Millisecond
	}
	return announceInterval
}

// announce sends a full announcement if the server's description has changed, and a renewal
// otherwise.
func (a *announcer) announce() error {
	s := a.engine.announcement()
	if a.lastAnnounced != nil && s.SameDescription(*a.lastAnnounced) {
		return a.renew(s)
	}
	body := backend.Announcement{BackendServer: s, Last: a.reply.Grant, LastAgeMillis: a.replyAge()}
	if err := a.post(backend.PathAnnounce, body); err != nil {
		return err
	}
	a.lastAnnounced = &s
	return nil
}

func (a *announcer) renew(s fleet.BackendServer) error {
	return a.post(backend.PathRenew, backend.Renewal{
		Name:          s.Name,
		Incarnation:   s.Incarnation,
		Sequence:      s.Sequence,
		Running:       s.Load.Running,
		Queued:        s.Load.Queued,
		Last:          a.reply.Grant,
		LastAgeMillis: a.replyAge(),
	})
}

func (a *announcer) replyAge() uint64 { return uint64(time.Since(a.repliedAt).Milliseconds()) }

func (a *announcer) post(path string, content any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	// Announcements hold only plain values, so encoding can't fail.
	body, _ := json.Marshal(content)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetNoDefaultContentType(true)
	req.SetRequestURI("http://" + a.instances[a.current] + path)
	req.SetBody(body)
	if err := a.client.DoTimeout(req, resp, announceTimeout); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return eris.Errorf("emulate: announce to %s: %s", a.instances[a.current], resp.Body())
	}
	var reply backend.AnnounceReply
	if err := json.Unmarshal(resp.Body(), &reply); err != nil {
		return eris.Wrap(err, "emulate: decode the answer to an announcement")
	}
	a.reply = reply
	a.repliedAt = time.Now()
	return nil
}
