package daemon

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/balsamlb/balsamlb/settings"
	"github.com/rotisserie/eris"
)

// View returns the view in force.
func (s *shared) View() replica.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// offerView puts a view of this instance's replica in force unless one as new is, and tells
// the other instances at once.
func (s *shared) offerView(v replica.View) {
	data, err := json.Marshal(v)
	if err != nil {
		s.log.Error(err, "a view can't be encoded", "index", v.Index)
		return
	}
	if s.putView(v, data) {
		s.pulse.ring()
	}
}

// putView puts a view in force and reports whether it was newer. A view never gives way to
// an older one.
func (s *shared) putView(v replica.View, data []byte) bool {
	if v.Index <= s.View().Index {
		return false
	}
	s.reading.Lock()
	defer s.reading.Unlock()
	intent, err := s.intentOf(v)
	if err != nil {
		s.log.Error(err, "an accepted configuration can't be read", "version", v.Config.Version)
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.Index <= s.view.Index {
		return false
	}
	s.view = v
	s.intent = intent
	s.views.add(v.Index, data)
	s.log.Info("put a view in force", "index", v.Index, "config_version", v.Config.Version)
	return true
}

// intentOf returns the configuration of a view, which is read only when it has changed: most
// views change the drains alone.
func (s *shared) intentOf(v replica.View) (settings.SharedConfig, error) {
	s.mu.Lock()
	old, intent := s.view.Config, s.intent
	s.mu.Unlock()
	if old.Version > 0 && old.Version == v.Config.Version && old.ChangeID == v.Config.ChangeID {
		return intent, nil
	}
	return readIntent(s.reader, v, s.process.DataCentre)
}

// confirmView takes that a quorum stood behind the view of the index at the time given.
func (s *shared) confirmView(index uint64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index == s.view.Index && index > 0 && at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

// viewAge returns the time since the view was known to be the newest, or since the start.
func (s *shared) viewAge(now time.Time) time.Duration {
	if s.confirmedAt.IsZero() {
		return now.Sub(s.clock.started)
	}
	return now.Sub(s.confirmedAt)
}

// readIntent reads the configuration of a view as the data centre sees it.
func readIntent(r *settings.SharedConfigReader, v replica.View, dataCentre string) (settings.SharedConfig, error) {
	base := settings.File{Name: "base.ini", Text: v.Config.Base}
	overlay := settings.File{Name: dataCentre + ".ini", Text: v.Config.Overlays[dataCentre]}
	in, err := r.Read(base, overlay)
	return in, eris.Wrap(err, "daemon: parse configuration")
}

// FetchView answers an instance that may have an older view.
func (s *shared) FetchView(req *wire.FetchRequest) (*wire.FetchResponse, error) {
	index := s.View().Index
	if index <= req.HaveIndex {
		return &wire.FetchResponse{Index: index}, nil
	}
	return s.views.response(index, req)
}

// fetchRequest asks for a view that is newer than the one in force.
func (s *shared) fetchRequest() *wire.FetchRequest {
	index := s.View().Index
	return &wire.FetchRequest{HaveIndex: index, HaveHash: instance.HashView(s.views.get(index))}
}

// fetched puts a view that another instance sent in force.
func (s *shared) fetched(req *wire.FetchRequest, resp *wire.FetchResponse) error {
	if len(resp.View) == 0 {
		return nil
	}
	var base []byte
	if resp.Patches {
		base = s.views.get(req.HaveIndex)
	}
	data, err := instance.ExpandView(resp.View, base)
	if err != nil {
		return err
	}
	var v replica.View
	if err := json.Unmarshal(data, &v); err != nil {
		return eris.Wrap(err, "daemon: decode view")
	}
	// A control instance may be the first of its region to learn of it.
	if s.putView(v, data) && s.process.IsControl() {
		s.pulse.ring()
	}
	return nil
}

// cachedViews is the number of views that are kept to make patches from.
const cachedViews = 8

// viewCache holds the last views in JSON, and the patch that was made last.
type viewCache struct {
	mu        sync.Mutex
	views     []cachedView
	last      patchKey
	lastPatch *wire.FetchResponse
}

type cachedView struct {
	index uint64
	data  []byte
}

// patchKey says from where to where a patch leads.
type patchKey struct {
	have, hash, index uint64
}

func newViewCache() *viewCache { return &viewCache{} }

func (c *viewCache) add(index uint64, data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.views = append(c.views, cachedView{index: index, data: data})
	if len(c.views) > cachedViews {
		c.views = append([]cachedView(nil), c.views[1:]...)
	}
}

// get returns the view of the index, or nil.
func (c *viewCache) get(index uint64) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.find(index)
}

func (c *viewCache) find(index uint64) []byte {
	for _, v := range c.views {
		if v.index == index {
			return v.data
		}
	}
	return nil
}

// response returns the view of the index, as a patch where the caller's view is held here
// with the same bytes. Most callers ask for the same patch, so the last one is kept.
func (c *viewCache) response(index uint64, req *wire.FetchRequest) (*wire.FetchResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	base := c.find(req.HaveIndex)
	if instance.HashView(base) != req.HaveHash {
		base = nil
	}
	key := patchKey{index: index}
	if base != nil {
		key = patchKey{have: req.HaveIndex, hash: req.HaveHash, index: index}
	}
	if c.lastPatch != nil && c.last == key {
		return c.lastPatch, nil
	}
	data, err := instance.CompressView(c.find(index), base)
	if err != nil {
		return nil, err
	}
	c.last = key
	c.lastPatch = &wire.FetchResponse{Index: index, View: data, Patches: base != nil}
	return c.lastPatch, nil
}
