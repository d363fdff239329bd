package mesh

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/balsamlb/balsamlb/delivery"
	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/internal/wakeloop"
	"github.com/balsamlb/balsamlb/routing"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

var (
	// errNoDocument is returned for an answer without the document that its version promises.
	errNoDocument = errors.New("mesh: the answer holds no document")
	errWrongPart  = errors.New("mesh: the answer holds another part of the document than was asked for")
)

// fetchForms says in which forms a document is no longer asked for.
type fetchForms struct {
	// withoutPatch is set after a patch that didn't lead to the right text, withoutParts after such parts.
	withoutPatch, withoutParts bool
}

// documentFetches is the state of the fetches of routing documents. The mesh's lock guards it.
type documentFetches struct {
	plan     *delivery.Plan
	partials partialDocuments
	forms    fetchForms
	// wake has an element if the plan may have something to do.
	wake chan struct{}
	// cancels ends the fetches in flight, by address.
	cancels map[string]context.CancelFunc
	// attempts are the latest fetches since the document in force was outdated.
	attempts []fetchAttempt
	// loggedBehind is since when the document in force had been outdated at the latest log line about that.
	loggedBehind           time.Time
	failures               map[FetchFailure]uint64
	wholeBytes, patchBytes uint64
}

func newDocumentFetches(name string, applyTime time.Duration) documentFetches {
	return documentFetches{plan: delivery.New(name, applyTime), wake: make(chan struct{}, 1),
		cancels: make(map[string]context.CancelFunc), failures: make(map[FetchFailure]uint64)}
}

// wakeUp makes the goroutine of the fetches look at the plan.
func (f *documentFetches) wakeUp() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// runFetches carries out the plan of the fetches until ctx ends, each fetch in a goroutine of its own; there is at most
// one for each control instance.
func (m *Mesh) runFetches(ctx context.Context) error {
	return wakeloop.Run(ctx, m.fetches.wake, m.startFetches)
}

// startFetches starts and cancels fetches as planned, and returns when to look at the plan again, if at any time.
func (m *Mesh) startFetches(ctx context.Context, g *errgroup.Group) (wait time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for {
		now := time.Now()
		step := m.fetches.plan.Next(now)
		for _, address := range step.Cancel {
			m.fetches.cancels[address]()
		}
		if step.Ask == "" {
			if due := m.logBehind(now); !due.IsZero() && (step.Wake.IsZero() || due.Before(step.Wake)) {
				step.Wake = due
			}
			return step.Wake.Sub(now), !step.Wake.IsZero()
		}
		m.fetches.beginAttempt(now, step.Ask, step.Version)
		if step.Overtakes != "" {
			m.options.Log.Info("asks another control instance for the routing document, as the fetch would be late", "address", step.Ask,
				"version", step.Version, "slow", step.Overtakes)
		}
		fetchCtx, cancel := context.WithCancel(ctx)
		m.fetches.cancels[step.Ask] = cancel
		g.Go(func() error {
			defer cancel()
			m.runFetch(fetchCtx, step.Ask, step.Version)
			return nil
		})
	}
}

// runFetch fetches from one control instance and tells the plan how it went.
func (m *Mesh) runFetch(ctx context.Context, address string, named uint64) {
	version, err := m.fetch(ctx, address, named)
	isCancelled := ctx.Err() != nil
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.fetches.cancels, address)
	defer m.fetches.wakeUp()
	now := time.Now()
	if err == nil {
		m.fetches.plan.Ended(address, version)
		outcome := "done"
		if version > 0 {
			outcome = fmt.Sprintf("nothing newer than version %d", version)
		}
		m.fetches.endAttempt(now, address, outcome)
		return
	}
	m.fetches.plan.Failed(now, address)
	if isCancelled {
		m.fetches.endAttempt(now, address, "no longer needed")
		return
	}
	m.recordFailure(now, address, named, err)
}

// recordFailure counts and logs a failed fetch. The caller holds the lock.
func (m *Mesh) recordFailure(now time.Time, address string, named uint64, err error) {
	reason := fetchFailureOf(err)
	m.fetches.failures[reason]++
	m.fetches.endAttempt(now, address, string(reason))
	m.options.Log.Info("could not fetch the routing document", "address", address, "version", named, "failure", reason, "reason", err.Error())
}

// fetch gets the document that a control instance has named, part by part. If there is nothing newer, it returns the
// version there, else 0. Another fetch may have got the parts before, or go on with them.
func (m *Mesh) fetch(ctx context.Context, address string, named uint64) (uint64, error) {
	f := m.options.Dialer.NewRoutingFetch(address, func(bytes int) { m.recordProgress(address, bytes) })
	defer f.Close()
	for {
		req, base := m.fetchRequest(named)
		resp, err := f.Call(ctx, req)
		if err != nil {
			return 0, err
		}
		if resp.Version == 0 {
			return 0, errNoDocument
		}
		if resp.Version <= req.HaveVersion {
			return resp.Version, nil
		}
		m.countReceived(resp)
		// The control instance may have a newer document by now than it had named. Its parts follow.
		named = max(named, resp.Version)
		goesOn, err := m.takeAnswer(address, req, resp, base)
		if errors.Is(err, errWrongHash) && m.takesOtherForm(resp) {
			m.options.Log.Info("the document arrived damaged and is fetched in another form", "address", address, "version", resp.Version, "is_patch", resp.Patches)
			continue
		}
		if err != nil || !goesOn {
			return 0, err
		}
	}
}

// countReceived counts the bytes of an answer.
func (m *Mesh) countReceived(resp *wire.FetchRoutingResponse) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if resp.Patches {
		m.fetches.patchBytes += uint64(len(resp.Document))
	} else {
		m.fetches.wholeBytes += uint64(len(resp.Document))
	}
}

func (m *Mesh) recordProgress(address string, bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fetches.plan.Progress(time.Now(), address, bytes)
}

// fetchRequest returns the request for a document up to the named version, and the text that a patch is based on. A
// control instance takes no patches, since it serves the encoded document on.
func (m *Mesh) fetchRequest(named uint64) (req *wire.FetchRoutingRequest, base []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	req = &wire.FetchRoutingRequest{HaveVersion: m.document.Version, TakesParts: !m.fetches.forms.withoutParts}
	// A complete document is about to be put in force by the fetch that completed it.
	if p := m.fetches.partials.upTo(named); p != nil && req.TakesParts && !p.isComplete() {
		req.Version, req.Offset = p.version, uint64(len(p.bytes))
	}
	if m.options.ControlAddress == "" && !m.fetches.forms.withoutPatch {
		base = m.texts.Text(m.document.Version)
	}
	if base != nil {
		req.HaveHash = m.documentHash
	}
	return req, base
}

// takeAnswer uses an answer and reports whether the fetch goes on.
func (m *Mesh) takeAnswer(address string, req *wire.FetchRoutingRequest, resp *wire.FetchRoutingResponse, base []byte) (goesOn bool, err error) {
	switch {
	case len(resp.Document) == 0:
		return false, errNoDocument
	case resp.Patches:
		text, err := instance.ExpandView(resp.Document, base)
		if err != nil {
			return false, fmt.Errorf("%w: %w", errWrongHash, err)
		}
		return false, m.publishText(routing.Publication{Version: resp.Version}, text, resp.Hash)
	case resp.Size == 0:
		return false, m.publishEncoded(routing.Publication{Version: resp.Version, Bytes: resp.Document}, resp.Hash)
	}
	if resp.Version == req.Version && resp.Offset != req.Offset {
		return false, fmt.Errorf("%w: asked for offset %d, got %d", errWrongPart, req.Offset, resp.Offset)
	}
	encoded, goesOn, err := m.addPart(address, resp)
	if encoded == nil || err != nil {
		return goesOn, err
	}
	err = m.publishEncoded(routing.Publication{Version: resp.Version, Bytes: encoded}, resp.Hash)
	if err != nil {
		m.dropPartial(resp.Version) // otherwise the rest of this document is asked for in place of a newer one
	}
	return false, err
}

func (m *Mesh) dropPartial(version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fetches.partials.drop(version)
}

// addPart adds a part of a document. It returns the encoded document once that is complete.
func (m *Mesh) addPart(address string, resp *wire.FetchRoutingResponse) (encoded []byte, goesOn bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, isNew, err := m.fetches.partials.add(resp)
	if errors.Is(err, errTooManyDocuments) && !m.fetches.plan.IsOtherMoving(time.Now(), address) {
		m.fetches.partials.dropOldest() // nobody completes it, as its control instance may be gone
		p, isNew, err = m.fetches.partials.add(resp)
	}
	if errors.Is(err, errOtherEncoding) {
		err = fmt.Errorf("%w: %w", errWrongHash, err)
	}
	if err != nil {
		return nil, false, err
	}
	if p != nil && p.isComplete() {
		return p.bytes, false, nil
	}
	if p == nil {
		return nil, false, nil // it doesn't follow what was there
	}
	m.fetches.wakeUp()
	return nil, m.fetches.plan.Part(time.Now(), address, delivery.Part{IsNew: isNew, Have: len(p.bytes), Size: int(p.size)}), nil
}

// takesOtherForm gives up the form in which a document arrived damaged, and reports whether there is another one.
func (m *Mesh) takesOtherForm(resp *wire.FetchRoutingResponse) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fetches.partials.drop(resp.Version)
	before := m.fetches.forms
	switch {
	case resp.Patches:
		m.fetches.forms.withoutPatch = true
	case resp.Size > 0:
		m.fetches.forms.withoutPatch, m.fetches.forms.withoutParts = true, true
	}
	return m.fetches.forms != before
}

// publishEncoded puts a document in force if its text has the hash; 0 means that the hash isn't known.
func (m *Mesh) publishEncoded(p routing.Publication, hash uint64) error {
	text, err := m.Decompress(p)
	if err != nil {
		return fmt.Errorf("%w: %w", errWrongHash, err)
	}
	return m.publishText(p, text, hash)
}

// hasInForce reports whether a document of the version or a newer one is in force.
func (m *Mesh) hasInForce(version uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return version <= m.document.Version
}

// publishText is publishEncoded for a text. A control instance only passes the document on, and reads it when it needs it
// itself. The document has no bytes if it arrived as a patch.
func (m *Mesh) publishText(p routing.Publication, text []byte, hash uint64) error {
	computed := instance.HashView(text)
	if hash != 0 && hash != computed {
		return eris.Wrapf(errWrongHash, "mesh: routing document %d", p.Version)
	}
	if m.hasInForce(p.Version) {
		return nil // another fetch was faster
	}
	var table *routing.Table
	facts := []any{"version", p.Version, "bytes", len(text)}
	if m.options.ControlAddress == "" {
		d, err := m.options.Decode(text)
		if err != nil {
			return fmt.Errorf("%w: version %d: %w", errUnreadable, p.Version, err)
		}
		table = routing.NewTable(d)
		facts = append(facts, "routes", len(d.Routes), "workspaces", len(d.Workspaces))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.Version <= m.document.Version {
		return nil
	}
	m.keepEarlier()
	m.texts.Add(p.Version, text)
	m.document, m.documentHash = p, computed
	m.table, m.isTableOutdated = cmp.Or(table, m.table), table == nil
	m.confirmAnnounced()
	_, behindSince := m.fetches.plan.Behind()
	m.fetches.plan.InForce(p.Version)
	if _, since := m.fetches.plan.Behind(); since.IsZero() {
		m.fetches.attempts = nil
	}
	m.fetches.partials.dropUpTo(p.Version)
	m.fetches.forms = fetchForms{}
	m.fetches.wakeUp()
	m.options.Log.Info("applied a new routing document", append(facts, "behind_ms", behindMillis(behindSince))...)
	m.broadcast()
	return nil
}
