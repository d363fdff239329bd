package replica

import (
	"time"

	"github.com/balsamlb/balsamlb/config"
	"github.com/balsamlb/balsamlb/credit"
	"github.com/balsamlb/balsamlb/formlevel"
	"github.com/balsamlb/balsamlb/ledger"
	"github.com/balsamlb/balsamlb/replica/wire"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// Encode returns the command encoded for the log.
func (c Command) Encode() ([]byte, error) {
	w := &wire.Command{Stamp: timestampToWire(c.Timestamp), Level: uint32(c.Level)}
	switch {
	case c.Begin != nil:
		w.Begin = beginToWire(*c.Begin)
	case c.Finish != nil:
		w.Finish = finishToWire(*c.Finish)
	case c.Abandon != nil:
		w.Abandon = &wire.Abandon{Key: keyToWire(c.Abandon.Key), Attempt: c.Abandon.Attempt}
	case c.Change != nil:
		w.Change = changeToWire(*c.Change)
	case c.Drain != nil:
		w.Drain = drainToWire(*c.Drain)
	case c.Credits != nil:
		w.Credits = batchToWire(*c.Credits)
	case c.Publish != nil:
		w.Publish = &wire.Publish{Version: c.Publish.Version, Document: c.Publish.Document}
	case c.RaiseLevel != 0:
		w.RaiseLevel = &wire.RaiseLevel{Level: uint32(c.RaiseLevel)}
	}
	data, err := deterministic.Marshal(w)
	return data, eris.Wrap(err, "replica: encode command")
}

// Decode decodes a command from the log.
func Decode(data []byte) (Command, error) {
	var w wire.Command
	if err := proto.Unmarshal(data, &w); err != nil {
		return Command{}, eris.Wrap(err, "replica: decode command")
	}
	c := Command{Timestamp: timestampFromWire(w.Stamp), Level: formlevel.Level(w.Level)}
	switch {
	case w.Begin != nil:
		c.Begin = beginFromWire(w.Begin)
	case w.Finish != nil:
		c.Finish = finishFromWire(w.Finish)
	case w.Abandon != nil:
		c.Abandon = &ledger.Abandon{Key: keyFromWire(w.Abandon.Key), Attempt: w.Abandon.Attempt}
	case w.Change != nil:
		c.Change = changeFromWire(w.Change)
	case w.Drain != nil:
		d := drainFromWire(w.Drain)
		c.Drain = &d
	case w.Credits != nil:
		c.Credits = batchFromWire(w.Credits)
	case w.Publish != nil:
		c.Publish = &Publish{Version: w.Publish.Version, Document: w.Publish.Document}
	case w.RaiseLevel != nil:
		c.RaiseLevel = formlevel.Level(w.RaiseLevel.Level)
	}
	return c, nil
}

// IsRepeatable reports whether the encoded command names what it does, as by an ID or a version, so that a repetition may
// take the result of its first entry, also if other entries follow that one. A read may not, as it must show what was
// acknowledged before it, nor a drain, which another one may have ended.
func IsRepeatable(data []byte) bool {
	c, err := Decode(data)
	if err != nil {
		return false
	}
	return c.Finish != nil || c.Abandon != nil || c.Change != nil || c.Credits != nil ||
		c.Publish != nil && c.Publish.Version > 0 || c.Begin != nil && !c.Begin.LookupOnly
}

// IsFollowed reports whether the command changes what all instances follow: the configuration, the drained servers or the
// routing document.
func (c Command) IsFollowed() bool {
	return c.Change != nil || c.Drain != nil || c.Publish != nil && c.Publish.Version > 0
}

// AddTimestamp returns the encoded command with the timestamp added. The leader calls it for each
// command before it appends the command to the log.
func AddTimestamp(data []byte, t Timestamp) ([]byte, error) {
	tail, err := deterministic.Marshal(&wire.Command{Stamp: timestampToWire(t)})
	if err != nil {
		return nil, eris.Wrap(err, "replica: encode timestamp")
	}
	out, err := appendWithoutTimestamp(make([]byte, 0, len(data)+len(tail)), data)
	if err != nil {
		return nil, err
	}
	return append(out, tail...), nil
}

// timestampField is the number of the field stamp of a command.
const timestampField = 15

// appendWithoutTimestamp appends the encoded command without its timestamp. Protobuf would merge the
// fields of two timestamps.
func appendWithoutTimestamp(out, data []byte) ([]byte, error) {
	for len(data) > 0 {
		number, _, size := protowire.ConsumeField(data)
		if size < 0 {
			return nil, eris.Wrap(protowire.ParseError(size), "replica: decode command")
		}
		if number != timestampField {
			out = append(out, data[:size]...)
		}
		data = data[size:]
	}
	return out, nil
}

func beginToWire(b ledger.Begin) *wire.Begin {
	return &wire.Begin{
		Key:        keyToWire(b.Key),
		Digest:     b.Digest[:],
		Attempt:    b.Attempt,
		Dispatcher: dispatcherToWire(b.Dispatcher),
		Server:     serverToWire(b.Server),
		Look:       b.LookupOnly,
	}
}

func beginFromWire(w *wire.Begin) *ledger.Begin {
	b := &ledger.Begin{
		Key:        keyFromWire(w.Key),
		Attempt:    w.Attempt,
		Dispatcher: dispatcherFromWire(w.Dispatcher),
		Server:     serverFromWire(w.Server),
		LookupOnly: w.Look,
	}
	copy(b.Digest[:], w.Digest)
	return b
}

func finishToWire(f Finish) *wire.Finish {
	return &wire.Finish{
		Key:     keyToWire(f.Key),
		Attempt: f.Attempt,
		Phase:   uint32(f.Phase),
		Answer:  answerToWire(f.Answer),
		Credit:  creditToWire(f.Credit),
	}
}

func finishFromWire(w *wire.Finish) *Finish {
	f := &Finish{Credit: creditFromWire(w.Credit)}
	f.Key = keyFromWire(w.Key)
	f.Attempt = w.Attempt
	f.Phase = phaseFromWire(w.Phase)
	f.Answer = answerFromWire(w.Answer)
	return f
}

func changeToWire(c config.Change) *wire.Change {
	return &wire.Change{
		Id:          c.ID,
		Expect:      c.Expect,
		Base:        c.Base,
		Overlays:    overlaysToWire(c.Overlays),
		Author:      c.Author,
		AtUnixNanos: unixNanos(c.At),
		Schema:      c.Schema,
	}
}

func changeFromWire(w *wire.Change) *config.Change {
	return &config.Change{
		ID:       w.Id,
		Expect:   w.Expect,
		Base:     w.Base,
		Overlays: overlaysFromWire(w.Overlays),
		Author:   w.Author,
		At:       timeFromUnixNanos(w.AtUnixNanos),
		Schema:   w.Schema,
	}
}

func batchToWire(b credit.Batch) *wire.Credits {
	return &wire.Credits{
		Source:      b.Source,
		Incarnation: b.Incarnation,
		Sequence:    b.Sequence,
		Accounts:    accountsToWire(b.Counts),
	}
}

func batchFromWire(w *wire.Credits) *credit.Batch {
	return &credit.Batch{
		Source:      w.Source,
		Incarnation: w.Incarnation,
		Sequence:    w.Sequence,
		Counts:      accountsFromWire(w.Accounts),
	}
}

func creditToWire(e credit.Entry) *wire.Credit {
	if e == (credit.Entry{}) {
		return nil
	}
	return &wire.Credit{Request: e.Request, Member: e.Member, Kind: e.Kind}
}

func creditFromWire(w *wire.Credit) credit.Entry {
	return credit.Entry{Request: w.GetRequest(), Member: w.GetMember(), Kind: w.GetKind()}
}

func timestampToWire(t Timestamp) *wire.Stamp {
	if t.Source == "" {
		return nil
	}
	return &wire.Stamp{Source: t.Source, MonotonicNanos: uint64(t.Monotonic), WallUnixNanos: unixNanos(t.Wall)}
}

func timestampFromWire(w *wire.Stamp) Timestamp {
	if w == nil {
		return Timestamp{}
	}
	return Timestamp{Source: w.Source, Monotonic: time.Duration(w.MonotonicNanos), Wall: timeFromUnixNanos(w.WallUnixNanos)}
}
