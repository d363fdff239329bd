package replica

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/config"
	"github.com/balsamlb/balsamlb/credit"
	"github.com/balsamlb/balsamlb/formlevel"
	"github.com/balsamlb/balsamlb/ledger"
	"github.com/balsamlb/balsamlb/replica/wire"
	"github.com/balsamlb/balsamlb/routing"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// SupportedSnapshotVersion is the only version of the snapshot format that this build reads and writes.
const SupportedSnapshotVersion = 1

// snapshotVersionField is the number of the field version of a snapshot.
const snapshotVersionField = 1

// ErrSnapshotVersion means that the snapshot has a format version that this build can't read.
var ErrSnapshotVersion = errors.New("replica: unsupported snapshot version")

// Image is a copy of the whole state. Later commands don't change the copy. Copying the state takes
// a fraction of the time of encoding it, and another goroutine can encode the copy.
type Image struct {
	viewIndex uint64
	ledger    ledger.Image
	config    config.Image
	credits   credit.Image
	drains    map[string]Drain
	clock     Clock
	routing   routing.Publication
	raised    formlevel.Level
}

// Image returns a copy of the state.
func (s *State) Image() Image {
	return Image{
		viewIndex: s.viewIndex,
		ledger:    s.Ledger.Image(),
		config:    s.Config.Image(),
		credits:   s.Credits.Image(),
		drains:    maps.Clone(s.Drains),
		clock:     s.clock,
		routing:   s.Routing,
		raised:    s.raised,
	}
}

// Snapshot returns the encoded state. Equal states have equal snapshots.
func (s *State) Snapshot() ([]byte, error) { return s.Image().Encode() }

// Encode returns the image as a snapshot.
func (im Image) Encode() ([]byte, error) {
	w := &wire.Snapshot{
		Version:    SupportedSnapshotVersion,
		ViewIndex:  im.viewIndex,
		Ledger:     ledgerToWire(im.ledger),
		Config:     configToWire(im.config),
		Credits:    creditsToWire(im.credits),
		ClockNanos: uint64(im.clock.now),
		LastStamp:  timestampToWire(im.clock.last),
		Level:      uint32(im.raised),
	}
	if im.routing.Version != 0 {
		w.Routing = &wire.Publish{Version: im.routing.Version, Document: im.routing.Bytes}
	}
	for _, name := range slices.Sorted(maps.Keys(im.drains)) {
		w.Drains = append(w.Drains, drainToWire(im.drains[name]))
	}
	data, err := deterministic.Marshal(w)
	return data, eris.Wrap(err, "replica: encode snapshot")
}

// SnapshotVersion returns the version of a snapshot without decoding the rest.
func SnapshotVersion(data []byte) (uint64, error) {
	for len(data) > 0 {
		number, kind, size := protowire.ConsumeTag(data)
		if size < 0 {
			return 0, eris.Wrap(protowire.ParseError(size), "replica: decode snapshot")
		}
		if number == snapshotVersionField && kind == protowire.VarintType {
			version, n := protowire.ConsumeVarint(data[size:])
			return version, eris.Wrap(protowire.ParseError(min(n, 0)), "replica: decode snapshot version")
		}
		_, _, size = protowire.ConsumeField(data)
		if size < 0 {
			return 0, eris.Wrap(protowire.ParseError(size), "replica: decode snapshot")
		}
		data = data[size:]
	}
	return 0, nil
}

// Restore decodes a snapshot and returns its state.
func Restore(data []byte) (*State, error) {
	var w wire.Snapshot
	if err := proto.Unmarshal(data, &w); err != nil {
		return nil, eris.Wrap(err, "replica: decode snapshot")
	}
	if w.Version != SupportedSnapshotVersion {
		return nil, eris.Wrapf(ErrSnapshotVersion, "replica: snapshot version %d", w.Version)
	}
	s := NewState()
	var err error
	if s.Ledger, err = ledger.FromImage(ledgerFromWire(w.Ledger)); err != nil {
		return nil, eris.Wrap(err, "replica: restore ledger")
	}
	if s.Config, err = config.FromImage(configFromWire(w.Config)); err != nil {
		return nil, eris.Wrap(err, "replica: restore configuration")
	}
	s.Credits = credit.FromImage(creditsFromWire(w.Credits))
	for _, d := range w.Drains {
		s.Drains[d.Server] = drainFromWire(d)
	}
	s.Routing = routing.Publication{Version: w.Routing.GetVersion(), Bytes: w.Routing.GetDocument()}
	s.viewIndex = w.ViewIndex
	s.raised = formlevel.Level(w.Level)
	s.clock = Clock{now: time.Duration(w.ClockNanos), last: timestampFromWire(w.LastStamp)}
	return s, nil
}

func ledgerToWire(im ledger.Image) *wire.Ledger {
	w := &wire.Ledger{}
	for _, r := range im.Records {
		w.Records = append(w.Records, recordToWire(r))
	}
	for _, a := range im.Withdrawn {
		w.Withdrawn = append(w.Withdrawn, &wire.Withdrawn{Attempt: a.Attempt, AtNanos: uint64(a.At)})
	}
	for _, f := range im.Filters {
		w.Filters = append(w.Filters, &wire.Filter{Count: f.Count, Bits: f.Bits})
	}
	for _, h := range im.Horizons {
		w.Horizons = append(w.Horizons, &wire.Horizon{Workspace: h.Workspace, KeyTimeMs: h.KeyTime})
	}
	return w
}

func ledgerFromWire(w *wire.Ledger) ledger.Image {
	var im ledger.Image
	for _, r := range w.GetRecords() {
		im.Records = append(im.Records, recordFromWire(r))
	}
	for _, a := range w.GetWithdrawn() {
		im.Withdrawn = append(im.Withdrawn, ledger.Withdrawal{Attempt: a.Attempt, At: time.Duration(a.AtNanos)})
	}
	for _, f := range w.GetFilters() {
		im.Filters = append(im.Filters, ledger.Filter{Count: f.Count, Bits: f.Bits})
	}
	for _, h := range w.GetHorizons() {
		im.Horizons = append(im.Horizons, ledger.Horizon{Workspace: h.Workspace, KeyTime: h.KeyTimeMs})
	}
	return im
}

func configToWire(im config.Image) *wire.Config {
	w := &wire.Config{}
	for _, d := range im.Documents {
		w.Documents = append(w.Documents, documentToWire(d))
	}
	for _, a := range im.Accepted {
		w.Accepted = append(w.Accepted, &wire.Accepted{Id: a.ID, Version: a.Version})
	}
	return w
}

func configFromWire(w *wire.Config) config.Image {
	var im config.Image
	for _, d := range w.GetDocuments() {
		im.Documents = append(im.Documents, documentFromWire(d))
	}
	for _, a := range w.GetAccepted() {
		im.Accepted = append(im.Accepted, config.AcceptedChange{ID: a.Id, Version: a.Version})
	}
	return im
}

func creditsToWire(im credit.Image) *wire.CreditBook {
	w := &wire.CreditBook{Accounts: accountsToWire(im.Counts)}
	for _, m := range im.LastBatches {
		w.Marks = append(w.Marks, &wire.CreditMark{
			Source: m.Source, Incarnation: m.Incarnation, Sequence: m.Sequence, Turn: m.Order,
		})
	}
	return w
}

func creditsFromWire(w *wire.CreditBook) credit.Image {
	im := credit.Image{Counts: accountsFromWire(w.GetAccounts())}
	for _, m := range w.GetMarks() {
		im.LastBatches = append(im.LastBatches, credit.LastBatch{
			Source: m.Source, Incarnation: m.Incarnation, Sequence: m.Sequence, Order: m.Turn,
		})
	}
	return im
}

func accountsToWire(counts []credit.Count) []*wire.Account {
	var ws []*wire.Account
	for _, c := range counts {
		ws = append(ws, &wire.Account{Member: c.Account.Member, Kind: c.Account.Kind, Count: c.Count})
	}
	return ws
}

func accountsFromWire(ws []*wire.Account) []credit.Count {
	var counts []credit.Count
	for _, a := range ws {
		counts = append(counts, credit.Count{Account: credit.Account{Member: a.Member, Kind: a.Kind}, Count: a.Count})
	}
	return counts
}
