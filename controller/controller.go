// Package controller runs a control instance: it receives the announcements of backend servers,
// stores the routing document in the replicated log, and places the layers of models.
package controller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
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
	// ErrNoQuorum means that this control instance has no contact to a quorum.
	ErrNoQuorum = errors.New("controller: no quorum of control instances is heard")
	// ErrNothingPublished means that no routing document has been accepted yet.
	ErrNothingPublished = errors.New("controller: no routing document was published yet")
)

const (
	// statusInterval is the time between two checks of the replica's state.
	statusInterval = 100 * time.Millisecond
	// publishTimeout bounds a publication or a read; the operator tries another instance after 1 s.
	publishTimeout = 900 * time.Millisecond
	// confirmTime is how long a read waits for the replica's state to be confirmed before it goes through the log as well.
	// In calm the leader's heartbeats confirm the state within it.
	confirmTime = 200 * time.Millisecond
	// pauseThreshold is the time between two checks above which the process counts as paused. The
	// process must then receive announcements for a while before it marks servers as silent.
	pauseThreshold = time.Second
	// missedAnnouncements is how many announcements must be missing before a server is silent.
	missedAnnouncements = 3
	// quorumTimeout is how long after its last contact to a quorum a control instance still
	// acknowledges what servers report. It is less than 1 s, the difference between the contact
	// timeout of deployments (3 s) and the time within which a drain must take effect (2 s).
	quorumTimeout = 600 * time.Millisecond
	// passOnTimeout bounds the time until a majority of the control instances knows that a server is draining or leaves.
	// The server calls another instance after 1 s.
	passOnTimeout = 500 * time.Millisecond
)

// Proposer runs commands through the replicated log.
type Proposer interface {
	Propose(ctx context.Context, c replica.Command) (replica.Result, error)
	// SetVoters sets the addresses of the control instances.
	SetVoters(addresses []string)
}

// Options configure a controller.
type Options struct {
	Name     string
	Host     *control.Host
	Mesh     *mesh.Mesh
	Proposer Proposer
	Engines  Engines
	// Demand returns the drafts of a service that the callers of each data centre ask for now: running, waiting and
	// lately refused ones. If it is nil, the drafts that start at the servers of a data centre count as its demand.
	Demand func(service string) map[string]float64
	// Usage returns the usage of all gateways by server; nil means that it isn't known.
	Usage func() map[string]mesh.Usage
	// AnnounceInterval is the interval at which a backend server announces itself.
	AnnounceInterval time.Duration
	// DataFolder is where the known servers are saved; "" saves nothing.
	DataFolder string
	// RoutingApplyTime is the time in which an acknowledged document must be in force.
	RoutingApplyTime time.Duration
	Log              logr.Logger
}

// Controller runs the duties of one control instance.
type Controller struct {
	options Options
	encoder *zstd.Encoder
	status  atomic.Pointer[control.Status]
	// lastQuorum is when this instance last had contact to a quorum, as nanoseconds after started
	// by the monotonic clock.
	lastQuorum atomic.Int64
	started    time.Time
	// receivingSince is when this instance began to receive announcements after its start or its
	// last pause, as nanoseconds after started by the monotonic clock.
	receivingSince atomic.Int64
	// routing is the newest document that the replica has applied.
	routing atomic.Pointer[routing.Publication]
	wake    chan struct{}
	reads   *sharedReads
	// lastRead is the document that was read last, and its text.
	lastRead struct {
		sync.Mutex
		publication routing.Publication
		text        []byte
	}
	planner *planner
	saved   savedServers
	// age logs when the document's age exceeds the bound.
	age mesh.AgeMonitor
}

// New returns a controller. Its Applied method must be set as the host's OnRouting callback.
func New(o Options) (*Controller, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, eris.Wrap(err, "controller: compressor")
	}
	c := &Controller{options: o, encoder: encoder, started: time.Now(), wake: make(chan struct{}, 1)}
	c.reads = &sharedReads{read: c.readPublished}
	c.planner = newPlanner(o)
	o.Mesh.SetConfirms(true)
	c.age = mesh.AgeMonitor{Bound: o.RoutingApplyTime, Log: o.Log}
	if err := c.loadServers(); err != nil {
		o.Log.Info("could not load the saved backend servers", "reason", err.Error())
	}
	return c, nil
}

// SetHost sets the host of the replica. It is called after New, because creating the host requires
// the controller.
func (c *Controller) SetHost(h *control.Host) { c.options.Host = h }

// Applied stores a routing document that the replica has applied.
func (c *Controller) Applied(p routing.Publication) {
	c.routing.Store(&p)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run runs the controller until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.runStatus(ctx) })
	g.Go(func() error { return c.runRouting(ctx) })
	g.Go(func() error { return c.runPlacement(ctx) })
	g.Go(func() error { return c.runSaveServers(ctx) })
	return g.Wait()
}

// runRouting publishes applied documents to the mesh. Superseded documents are skipped.
func (c *Controller) runRouting(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.wake:
		}
		if p := c.routing.Load(); p != nil {
			if err := c.options.Mesh.Publish(*p); err != nil {
				c.options.Log.Error(err, "could not read an accepted routing document")
			}
		}
	}
}

// runStatus tracks the replica's state and marks silent servers.
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
		if now := time.Now(); now.Sub(last) > pauseThreshold {
			c.receivingSince.Store(int64(now.Sub(c.started)))
		}
		last = time.Now()
		s, err := c.options.Host.Status(ctx)
		if err != nil {
			return nil // the replica has stopped, which ends the instance
		}
		c.recordStatus(s)
		c.expire(time.Now())
	}
}

// Levels returns the build and the levels of entries as the replica knows them.
func (c *Controller) Levels() control.LevelStatus {
	if s := c.status.Load(); s != nil {
		return s.Levels
	}
	return control.LevelStatus{}
}

// recordStatus passes on what the replica knows of its group. The fencing token is the term of a leader.
// While this instance does not lead, the term of a committed entry is that of the latest leader it knows
// of, also after a restart; its own term may be that of a candidate who lost.
func (c *Controller) recordStatus(s control.Status) {
	c.status.Store(&s)
	if s.HasQuorum {
		c.lastQuorum.Store(int64(time.Since(c.started)))
	}
	voters := voterAddresses(s)
	c.options.Mesh.SetVoters(voters)
	c.options.Proposer.SetVoters(voters)
	c.recordConfirmation(s)
	c.options.Mesh.RaiseFence(s.CommitTerm)
	if s.Lease {
		c.options.Mesh.RaiseFence(s.Term)
	}
}

// recordConfirmation passes on since when the replica's document is known to be the newest.
func (c *Controller) recordConfirmation(s control.Status) {
	c.options.Mesh.SetConfirms(s.CanConfirm)
	if s.ConfirmedAt > 0 {
		c.options.Mesh.ConfirmRouting(s.RoutingVersion, s.ConfirmedAt)
	}
	c.age.Observe(c.options.Mesh.RoutingConfirmation())
}

func voterAddresses(s control.Status) []string {
	var out []string
	for _, v := range s.Membership.Voters {
		out = append(out, v.Address)
	}
	return out
}

// expire marks a server as silent if its last announcement is too old and was sent to this instance
// or to a control instance that this instance no longer reaches. An instance that has just started
// or was just paused marks no servers, because it has not received announcements for long enough.
func (c *Controller) expire(now time.Time) {
	silence := missedAnnouncements * c.options.AnnounceInterval
	if c.receivingFor() < silence {
		return
	}
	for _, id := range c.options.Mesh.Expire(now, now.Add(-silence)) {
		c.options.Log.Info("backend server is silent", "server", id, "after_ms", silence.Milliseconds())
	}
}

// receivingFor returns how long this instance has received announcements without a pause.
func (c *Controller) receivingFor() time.Duration {
	return time.Since(c.started) - time.Duration(c.receivingSince.Load())
}

// lacksQuorum reports whether the last contact to a quorum was longer than quorumTimeout ago.
func (c *Controller) lacksQuorum() bool {
	return time.Since(c.started)-time.Duration(c.lastQuorum.Load()) > quorumTimeout
}

// Announced processes an announcement of a backend server. An instance without quorum passes it
// on to the instances that it still reaches, but can't guarantee that all others receive it.
// Announced then returns ErrNoQuorum. That a server is draining is acknowledged once it is kept: the
// server's next announcement may come too late, or not at all, if this instance is lost right after.
func (c *Controller) Announced(a discovery.Announcement) error {
	if c.options.Mesh.Announce(time.Now(), a) {
		c.options.Log.Info("backend server announced a change", "server", a.ID, "state", a.State, "address", a.Address,
			"data_centre", a.DataCentre, "from", a.LayersFrom, "to", a.LayersTo, "sequence", a.Sequence)
	}
	if err := c.acknowledge(); err != nil || a.State != discovery.StateDraining {
		return err
	}
	return c.keep(a.ID)
}

// Left processes the message of a backend server that it is leaving. Like Announced, it returns
// ErrNoQuorum on an instance without quorum. It returns discovery.ErrUnknownServer on an instance that
// doesn't know the server, such as one that has just started with an empty disk: the message doesn't
// name the incarnation, so such an instance couldn't tell the others which one leaves.
//
// A server sends the message only until it is acknowledged. It is kept by then.
func (c *Controller) Left(id string) error {
	changed, err := c.options.Mesh.Leave(time.Now(), id)
	if err != nil {
		c.options.Log.Info("could not record that a backend server is leaving", "server", id, "reason", err.Error())
		return err
	}
	if changed {
		c.options.Log.Info("backend server is leaving", "server", id)
	}
	if err := c.acknowledge(); err != nil {
		return err
	}
	return c.keep(id)
}

// keep waits until a majority of the control instances knows what this one knows of a server, and this one has it on
// disk. So the loss of an instance, or a restart of all, takes nothing back.
func (c *Controller) keep(id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), passOnTimeout)
	defer cancel()
	err := c.options.Mesh.AwaitPassedOn(ctx, id)
	if err == nil {
		err = c.saveServers()
	}
	if err != nil {
		c.options.Log.Info("could not keep what a backend server said", "server", id, "reason", err.Error())
	}
	return err
}

// acknowledge returns ErrNoQuorum if this instance has no contact to a quorum. Otherwise the message
// just received will reach all instances in contact with a quorum, and acknowledge returns nil.
func (c *Controller) acknowledge() error {
	if c.lacksQuorum() {
		return ErrNoQuorum
	}
	return nil
}

// Publish puts a document in force if its version is the highest. A document with version 0, which would only read
// the one in force, is invalid. After any other error, the document may still come into force.
func (c *Controller) Publish(ctx context.Context, d *routing.Document, text []byte) (routing.Verdict, error) {
	if d.Version == 0 {
		return 0, fmt.Errorf("controller: publish: %w: the version is 0", routing.ErrInvalid)
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	r, err := c.propose(ctx, replica.Publish{Version: d.Version, Document: c.encoder.EncodeAll(text, nil)})
	if err != nil {
		c.options.Log.Info("could not publish routing document", "version", d.Version, "reason", err.Error())
		return 0, err
	}
	verdict := r.Verdict
	if verdict == routing.VerdictConflict {
		if verdict, err = c.compareContent(ctx, d.Version, text); err != nil {
			c.options.Log.Info("could not compare routing document with the one in force", "version", d.Version, "reason", err.Error())
			return 0, err
		}
	}
	c.options.Log.Info("proposed routing document", "version", d.Version, "verdict", verdict, "in_force", r.Version)
	return verdict, nil
}

// compareContent returns the verdict on a document whose version is in force with other compressed bytes. Only the
// texts count: another build or library may have compressed the same text in another way.
func (c *Controller) compareContent(ctx context.Context, version uint64, text []byte) (routing.Verdict, error) {
	r, err := c.propose(ctx, replica.Publish{})
	if err != nil {
		return 0, err
	}
	if r.Version != version {
		return routing.VerdictConflict, nil // superseded meanwhile; what the log decided stands
	}
	inForce, err := c.options.Mesh.Decompress(routing.Publication{Version: r.Version, Bytes: r.Document})
	if err != nil {
		return 0, err
	}
	if !bytes.Equal(inForce, text) {
		return routing.VerdictConflict, nil
	}
	return routing.VerdictAccepted, nil
}

// Published returns the newest published routing document, or ErrNothingPublished. The document is never stale. Callers
// share the text.
func (c *Controller) Published(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	return c.reads.get(ctx)
}

// readPublished reads the newest published routing document. Only reads uses it.
func (c *Controller) readPublished() ([]byte, error) {
	p, err := c.readNewest(context.Background())
	if err != nil {
		return nil, err
	}
	if p.Version == 0 {
		return nil, ErrNothingPublished
	}
	c.lastRead.Lock()
	defer c.lastRead.Unlock()
	if last := c.lastRead.publication; last.Version == p.Version && bytes.Equal(last.Bytes, p.Bytes) {
		return c.lastRead.text, nil // which answers may hold that nobody has read yet
	}
	text, err := c.options.Mesh.Decompress(p)
	if err == nil {
		c.lastRead.publication, c.lastRead.text = p, text
	}
	return text, err
}

// readNewest reads the routing document from this instance's replica once its state is confirmed. If that takes longer than
// confirmTime, it also proposes an empty Publish command, whose result holds the document.
func (c *Controller) readNewest(ctx context.Context) (routing.Publication, error) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	confirmed := make(chan routing.Publication, 1)
	go func() {
		if p, err := c.options.Host.ReadRouting(ctx); err == nil {
			confirmed <- p
		}
	}()
	select {
	case p := <-confirmed:
		return p, nil
	case <-time.After(confirmTime):
	}
	proposed := make(chan error, 1)
	var r *replica.PublishResult
	go func() {
		var err error
		r, err = c.propose(ctx, replica.Publish{})
		proposed <- err
	}()
	select {
	case p := <-confirmed:
		return p, nil
	case err := <-proposed:
		if err != nil {
			return routing.Publication{}, err
		}
		return routing.Publication{Version: r.Version, Bytes: r.Document}, nil
	}
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
