package replica

import (
	"maps"
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/config"
	"github.com/balsamlb/balsamlb/ledger"
	"github.com/balsamlb/balsamlb/replica/wire"
	"google.golang.org/protobuf/proto"
)

// deterministic encodes equal messages to equal bytes. No message contains a map.
var deterministic = proto.MarshalOptions{Deterministic: true}

// unixNanos returns 0 for the zero time.
func unixNanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func timeFromUnixNanos(nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos).UTC()
}

func keyToWire(k ledger.Key) *wire.Key {
	return &wire.Key{Workspace: k.Workspace, Service: k.Service, Idempotency: k.Idempotency}
}

func keyFromWire(w *wire.Key) ledger.Key {
	return ledger.Key{Workspace: w.GetWorkspace(), Service: w.GetService(), Idempotency: w.GetIdempotency()}
}

func dispatcherToWire(d ledger.Dispatcher) *wire.Dispatcher {
	return &wire.Dispatcher{Instance: d.Instance, Incarnation: d.Incarnation}
}

func dispatcherFromWire(w *wire.Dispatcher) ledger.Dispatcher {
	return ledger.Dispatcher{Instance: w.GetInstance(), Incarnation: w.GetIncarnation()}
}

func serverToWire(s ledger.Server) *wire.Server {
	return &wire.Server{Name: s.Name, Incarnation: s.Incarnation, Address: s.Address, Resolves: s.Resolves}
}

func serverFromWire(w *wire.Server) ledger.Server {
	return ledger.Server{
		Name:        w.GetName(),
		Incarnation: w.GetIncarnation(),
		Address:     w.GetAddress(),
		Resolves:    w.GetResolves(),
	}
}

func answerToWire(a ledger.Answer) *wire.Answer {
	return &wire.Answer{Status: uint32(a.Status), ContentType: a.ContentType, Body: a.Body, Dropped: a.Dropped}
}

func answerFromWire(w *wire.Answer) ledger.Answer {
	return ledger.Answer{
		Status:      int(w.GetStatus()),
		ContentType: w.GetContentType(),
		Body:        w.GetBody(),
		Dropped:     w.GetDropped(),
	}
}

// phaseFromWire maps an invalid number to PhaseUnknown, which makes no claim about the outcome.
func phaseFromWire(n uint32) ledger.Phase {
	if n < uint32(ledger.PhaseBegun) || n > uint32(ledger.PhaseUnknown) {
		return ledger.PhaseUnknown
	}
	return ledger.Phase(n)
}

func recordToWire(r ledger.Record) *wire.Record {
	return &wire.Record{
		Key:        keyToWire(r.Key),
		Phase:      uint32(r.Phase),
		Digest:     r.Digest[:],
		Attempt:    r.Attempt,
		Dispatcher: dispatcherToWire(r.Dispatcher),
		Server:     serverToWire(r.Server),
		AtNanos:    uint64(r.At),
		KeyTimeMs:  r.KeyTime,
		Answer:     answerToWire(r.Answer),
	}
}

func recordFromWire(w *wire.Record) ledger.Record {
	r := ledger.Record{
		Key:        keyFromWire(w.GetKey()),
		Phase:      phaseFromWire(w.GetPhase()),
		Attempt:    w.GetAttempt(),
		Dispatcher: dispatcherFromWire(w.GetDispatcher()),
		Server:     serverFromWire(w.GetServer()),
		At:         time.Duration(w.GetAtNanos()),
		KeyTime:    w.GetKeyTimeMs(),
		Answer:     answerFromWire(w.GetAnswer()),
	}
	copy(r.Digest[:], w.GetDigest())
	return r
}

func overlaysToWire(overlays map[string]string) []*wire.Overlay {
	var out []*wire.Overlay
	for _, name := range slices.Sorted(maps.Keys(overlays)) {
		out = append(out, &wire.Overlay{DataCentre: name, Text: overlays[name]})
	}
	return out
}

func overlaysFromWire(ws []*wire.Overlay) map[string]string {
	if len(ws) == 0 {
		return nil
	}
	out := make(map[string]string, len(ws))
	for _, w := range ws {
		out[w.DataCentre] = w.Text
	}
	return out
}

func documentToWire(d config.Document) *wire.Document {
	return &wire.Document{
		Version:     d.Version,
		Base:        d.Base,
		Overlays:    overlaysToWire(d.Overlays),
		Author:      d.Author,
		AtUnixNanos: unixNanos(d.At),
		ChangeId:    d.ChangeID,
		Schema:      d.Schema,
	}
}

func documentFromWire(w *wire.Document) config.Document {
	return config.Document{
		Version:  w.GetVersion(),
		Base:     w.GetBase(),
		Overlays: overlaysFromWire(w.GetOverlays()),
		Author:   w.GetAuthor(),
		At:       timeFromUnixNanos(w.GetAtUnixNanos()),
		ChangeID: w.GetChangeId(),
		Schema:   w.GetSchema(),
	}
}

func drainToWire(d Drain) *wire.Drain {
	return &wire.Drain{Server: d.Server, On: d.On, AtUnixNanos: unixNanos(d.At), Move: d.Move}
}

func drainFromWire(w *wire.Drain) Drain {
	return Drain{Server: w.GetServer(), On: w.GetOn(), At: timeFromUnixNanos(w.GetAtUnixNanos()), Move: w.GetMove()}
}
