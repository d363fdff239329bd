// Package controller runs a control instance: it hears backend servers, keeps the routing
// document by the replicated log, and places the layers of models.
package controller

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/balsamlb/balsamlb/control"
	"github.com/balsamlb/balsamlb/discovery"
	"github.com/balsamlb/balsamlb/mesh"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/balsamlb/balsamlb/routing"
	"github.com/go-logr/logr"
	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

var (
	// ErrApart means that this control instance hears no quorum.
	ErrApart = errors.New("controller: no quorum of control instances is heard")
	// ErrNothingPublished means that no routing document was ever accepted.
	ErrNothingPublished = errors.New("controller: no routing document was published yet")
)

const (
	// statusInterval is the time between two looks at the replica's state.
	statusInterval = 100 * time.Millisecond
	// publishTimeout bounds a publication or a read; the operator turns elsewhere after 1 s.
	publishTimeout = 900 * time.Millisecond
	// stoodStill is the time between two looks from which on the process counts as having
	// stood still, and has to listen anew before it calls servers silent.
	stoodStill = time.Second
	// silentBeats is how many announcements may be missing before a server counts as silent.
	silentBeats = 3
	// apartAfter is for how long a control instance may have heard no quorum and still
	// acknowledge what servers say. It is under the contact time of deployments (3 s) less
	// the time in which a drain must hold (2 s).
	apartAfter = 600 * time.Millisecond
)

// Proposer runs commands through the replicated log.
type Proposer interface {
	Propose(ctx context.Context, c replica.Command) (replica.Result, error)
	// Know replaces the addresses of the control instances.
	Know(addresses []string)
}

// Options describe a controller.
type Options struct {
	Name     string
	Host     *control.Host
	Mesh     *mesh.Mesh
	Proposer Proposer
	Engines  Engines
	// AnnounceInterval is the time between two announcements of a backend server.
	AnnounceInterval time.Duration
	// DataFolder keeps the servers that are known; "": nothing is kept.
	DataFolder string
	Log        logr.Logger
}

// Controller is one control instance.
type Controller struct {
	options Options
	encoder *zstd.Encoder
	status  atomic.Pointer[control.Status]
	// heard is when a quorum was last heard, in nanoseconds of the steady clock since started.
	heard   atomic.Int64
	started time.Time
	// listeningSince is when this instance began to hear servers without a break, in
	// nanoseconds of the steady clock since started.
	listeningSince atomic.Int64
	// routing is the newest document that the replica has applied.
	routing atomic.Pointer[routing.Publication]
	wake    chan struct{}
	planner *planner
}

// New returns a controller. Its Applied must be the host's OnRouting.
func New(o Options) (*Controller, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, eris.Wrap(err, "controller: compressor")
	}
	c := &Controller{options: o, encoder: encoder, started: time.Now(), wake: make(chan struct{}, 1)}
	c.planner = newPlanner(o)
	if err := c.recall(); err != nil {
		o.Log.Info("could not recall the servers that were known last", "reason", err.Error())
	}
	return c, nil
}

// SetHost sets the replica, which needs the controller itself to be made.
func (c *Controller) SetHost(h *control.Host) { c.options.Host = h }

// Applied takes a routing document that the replica has applied.
func (c *Controller) Applied(p routing.Publication) {
	c.routing.Store(&p)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run carries out the duties until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.runStatus(ctx) })
	g.Go(func() error { return c.runRouting(ctx) })
	g.Go(func() error { return c.runPlacement(ctx) })
	g.Go(func() error { return c.runRemember(ctx) })
	return g.Wait()
}

// runRouting passes applied documents on to the mesh; those that were overtaken are left out.
func (c *Controller) runRouting(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.wake:
		}
		if p := c.routing.Load(); p != nil {
			if err := c.options.Mesh.Publish(*p); err != nil {
				c.options.Log.Error(err, "an accepted routing document can't be read")
			}
		}
	}
}

// runStatus follows the replica's state, and finds silent servers.
func (c *Controller) runStatus(ctx context.Context) error {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if now := time.Now(); now.Sub(last) > stoodStill {
			c.listeningSince.Store(int64(now.Sub(c.started)))
		}
		last = time.Now()
		s, err := c.options.Host.Status(ctx)
		if err != nil {
			return nil // the replica has ended, which ends the instance
		}
		c.status.Store(&s)
		if s.HasQuorum {
			c.heard.Store(int64(time.Since(c.started)))
		}
		voters := voterAddresses(s)
		c.options.Mesh.SetVoters(voters)
		c.options.Proposer.Know(voters)
		if s.Lease {
			c.options.Mesh.UseFence(s.Term)
		}
		c.expire(time.Now())
	}
}

func voterAddresses(s control.Status) []string {
	var out []string
	for _, v := range s.Membership.Voters {
		out = append(out, v.Address)
	}
	return out
}

// expire marks servers as silent that nobody hears. An instance that has just started, or that
// was apart, has not listened for long enough.
func (c *Controller) expire(now time.Time) {
	silence := silentBeats * c.options.AnnounceInterval
	if c.listeningFor() < silence {
		return
	}
	for _, id := range c.options.Mesh.Expire(now, now.Add(-silence)) {
		c.options.Log.Info("a backend server has fallen silent", "server", id, "after_ms", silence.Milliseconds())
	}
}

// listeningFor is for how long this instance has heard servers without a break.
func (c *Controller) listeningFor() time.Duration {
	return time.Since(c.started) - time.Duration(c.listeningSince.Load())
}

// isApart reports whether no quorum was heard lately.
func (c *Controller) isApart() bool {
	return time.Since(c.started)-time.Duration(c.heard.Load()) > apartAfter
}

// Announced takes what a backend server says of itself. An instance that is apart passes it on
// to those who are cut off with it, but can't promise that all others learn of it.
func (c *Controller) Announced(a discovery.Announcement) error {
	if c.options.Mesh.Heard(time.Now(), a) {
		c.options.Log.Info("a backend server says something new", "server", a.ID, "state", a.State, "address", a.Address,
			"data_centre", a.DataCentre, "from", a.LayersFrom, "to", a.LayersTo, "sequence", a.Sequence)
	}
	return c.acknowledge()
}

// Left takes the word of a backend server that it leaves.
func (c *Controller) Left(id string) error {
	if c.options.Mesh.Leave(time.Now(), id) {
		c.options.Log.Info("a backend server leaves", "server", id)
	}
	return c.acknowledge()
}

// acknowledge returns an error unless what was just heard reaches all instances in touch.
func (c *Controller) acknowledge() error {
	if c.isApart() {
		return ErrApart
	}
	return nil
}

// Publish puts a document in force if its version is the highest.
func (c *Controller) Publish(ctx context.Context, d *routing.Document, text []byte) (routing.Verdict, error) {
	r, err := c.propose(ctx, replica.Publish{Version: d.Version, Document: c.encoder.EncodeAll(text, nil)})
	if err != nil {
		c.options.Log.Info("could not publish a routing document", "version", d.Version, "reason", err.Error())
		return 0, err
	}
	c.options.Log.Info("a routing document was offered", "version", d.Version, "verdict", r.Verdict, "in_force", r.Version)
	return r.Verdict, nil
}

// Published returns the newest document. It is read through the log, so it is the newest for sure.
func (c *Controller) Published(ctx context.Context) ([]byte, error) {
	r, err := c.propose(ctx, replica.Publish{})
	if err != nil {
		return nil, err
	}
	if r.Version == 0 {
		return nil, ErrNothingPublished
	}
	return c.options.Mesh.Unpack(routing.Publication{Version: r.Version, Bytes: r.Document})
}

func (c *Controller) propose(ctx context.Context, p replica.Publish) (*replica.PublishResult, error) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	r, err := c.options.Proposer.Propose(ctx, replica.Command{Publish: &p})
	if err != nil {
		return nil, err
	}
	if r.Publish == nil {
		return nil, eris.Wrap(consensus.ErrNotLeader, "controller: the command has no result")
	}
	return r.Publish, nil
}
