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
func (s *instanceState) View() replica.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// offerView applies a view from the replica of this instance. If it is newer than the view in force,
// the other instances are notified at once.
func (s *instanceState) offerView(v replica.View) {
	data, err := json.Marshal(v)
	if err != nil {
		s.log.Error(err, "could not encode a view", "index", v.Index)
		return
	}
	if s.applyView(v, data) {
		s.heartbeats.sendNow()
	}
}

// applyView puts a view in force if it is newer than the current one, and reports whether it was. A
// view is never replaced by an older one.
func (s *instanceState) applyView(v replica.View, data []byte) bool {
	if v.Index <= s.View().Index {
		return false
	}
	s.readMu.Lock()
	defer s.readMu.Unlock()
	cfg, err := s.configFor(v)
	if err != nil {
		s.log.Error(err, "could not read an accepted configuration", "version", v.Config.Version)
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.Index <= s.view.Index {
		return false
	}
	s.view = v
	s.config = cfg
	s.views.add(v.Index, data)
	s.log.Info("applied a newer view", "index", v.Index, "config_version", v.Config.Version)
	return true
}

// configFor returns the configuration of a view. The text is read only if it has changed, since most
// views change only the drains.
func (s *instanceState) configFor(v replica.View) (settings.SharedConfig, error) {
	s.mu.Lock()
	old, cfg := s.view.Config, s.config
	s.mu.Unlock()
	if old.Version > 0 && old.Version == v.Config.Version && old.ChangeID == v.Config.ChangeID {
		return cfg, nil
	}
	return readConfig(s.configReader, v, s.process.DataCentre)
}

// confirmView records that a quorum confirmed at the given time that the view with the index is the newest.
// The view in force may be newer, but not older.
func (s *instanceState) confirmView(index uint64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index <= s.view.Index && index > 0 && at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

// viewAge returns the time since a quorum last confirmed the view as the newest, or since the start
// of this instance if no quorum has confirmed it. s.mu must be held.
func (s *instanceState) viewAge(now time.Time) time.Duration {
	if s.confirmedAt.IsZero() {
		return now.Sub(s.clock.started)
	}
	return now.Sub(s.confirmedAt)
}

// readConfig reads the configuration of a view with the overlay of the data centre.
func readConfig(r *settings.SharedConfigReader, v replica.View, dataCentre string) (settings.SharedConfig, error) {
	base := settings.File{Name: "base.ini", Text: v.Config.Base}
	overlay := settings.File{Name: dataCentre + ".ini", Text: v.Config.Overlays[dataCentre]}
	in, err := r.Read(base, overlay)
	return in, eris.Wrap(err, "daemon: parse configuration")
}

// FetchView returns the view in force to an instance that may have an older one.
func (s *instanceState) FetchView(req *wire.FetchRequest) (*wire.FetchResponse, error) {
	index := s.View().Index
	if index <= req.HaveIndex {
		return &wire.FetchResponse{Index: index}, nil
	}
	return s.views.response(index, req)
}

// fetchRequest returns the request for a view that is newer than the one in force.
func (s *instanceState) fetchRequest() *wire.FetchRequest {
	index := s.View().Index
	return &wire.FetchRequest{HaveIndex: index, HaveHash: instance.HashView(s.views.get(index))}
}

// applyFetchedView applies the view in the response of another instance.
func (s *instanceState) applyFetchedView(req *wire.FetchRequest, resp *wire.FetchResponse) error {
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
	// A control instance may be the first instance of its region to receive this view, so it
	// notifies the other instances.
	if s.applyView(v, data) && s.process.IsControl() {
		s.heartbeats.sendNow()
	}
	return nil
}

// maxCachedViews is the number of views that are kept as bases of patches.
const maxCachedViews = 8

// viewCache holds the latest views in JSON, and the last response. It is safe for concurrent use.
type viewCache struct {
	mu           sync.Mutex
	views        []cachedView
	lastKey      responseKey
	lastResponse *wire.FetchResponse
}

type cachedView struct {
	index uint64
	data  []byte
}

// responseKey identifies a response by the index of its view and by the index and hash of the view that
// its patch is based on, 0 if the response is no patch.
type responseKey struct {
	have, hash, index uint64
}

func newViewCache() *viewCache { return &viewCache{} }

func (c *viewCache) add(index uint64, data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.views = append(c.views, cachedView{index: index, data: data})
	if len(c.views) > maxCachedViews {
		c.views = append([]cachedView(nil), c.views[1:]...)
	}
}

// get returns the encoded view of the index, or nil.
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

// response returns the view of the index, as a patch if the cache holds the caller's view with the same
// bytes. The last response is kept, since most callers need the same one.
func (c *viewCache) response(index uint64, req *wire.FetchRequest) (*wire.FetchResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	base := c.find(req.HaveIndex)
	if instance.HashView(base) != req.HaveHash {
		base = nil
	}
	key := responseKey{index: index}
	if base != nil {
		key = responseKey{have: req.HaveIndex, hash: req.HaveHash, index: index}
	}
	if c.lastResponse != nil && c.lastKey == key {
		return c.lastResponse, nil
	}
	data, err := instance.CompressView(c.find(index), base)
	if err != nil {
		return nil, err
	}
	c.lastKey = key
	c.lastResponse = &wire.FetchResponse{Index: index, View: data, Patches: base != nil}
	return c.lastResponse, nil
}
