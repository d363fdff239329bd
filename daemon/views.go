package daemon

import (
	"encoding/json"
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
	s.views.Add(v.Index, data)
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
	return viewResponse(s.views, index, req)
}

// fetchRequest returns the request for a view that is newer than the one in force.
func (s *instanceState) fetchRequest() *wire.FetchRequest {
	index := s.View().Index
	return &wire.FetchRequest{HaveIndex: index, HaveHash: instance.HashView(s.views.Text(index))}
}

// applyFetchedView applies the view in the response of another instance.
func (s *instanceState) applyFetchedView(req *wire.FetchRequest, resp *wire.FetchResponse) error {
	if len(resp.View) == 0 {
		return nil
	}
	var base []byte
	if resp.Patches {
		base = s.views.Text(req.HaveIndex)
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

// viewResponse returns the view of the index, as a patch if the cache holds the caller's view with the same bytes.
func viewResponse(views *instance.PatchCache, index uint64, req *wire.FetchRequest) (*wire.FetchResponse, error) {
	patch, err := views.Patch(index, req.HaveIndex, req.HaveHash)
	if err != nil {
		return nil, err
	}
	if patch != nil {
		return &wire.FetchResponse{Index: index, View: patch, Patches: true}, nil
	}
	whole, err := views.Whole(index)
	if err != nil {
		return nil, err
	}
	return &wire.FetchResponse{Index: index, View: whole}, nil
}
