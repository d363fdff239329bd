package replica

import (
	"github.com/balsamlb/balsamlb/config"
	"github.com/balsamlb/balsamlb/ledger"
	"github.com/balsamlb/balsamlb/replica/wire"
	"github.com/balsamlb/balsamlb/routing"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

// Encode returns the result encoded for sending to another instance.
func (r Result) Encode() ([]byte, error) {
	w := &wire.Result{}
	if r.Ledger != nil {
		w.Ledger = &wire.LedgerResult{Verdict: uint32(r.Ledger.Verdict), Record: recordToWire(r.Ledger.Record)}
	}
	if r.Config != nil {
		w.Config = &wire.ConfigResult{
			Accepted: r.Config.Accepted,
			Version:  r.Config.Version,
			Current:  documentToWire(r.Config.Current),
			Faults:   r.Config.Faults,
		}
	}
	if r.Publish != nil {
		w.Publish = &wire.PublishResult{
			Verdict:  uint32(r.Publish.Verdict),
			Version:  r.Publish.Version,
			Document: r.Publish.Document,
		}
	}
	data, err := deterministic.Marshal(w)
	return data, eris.Wrap(err, "replica: encode result")
}

// DecodeResult decodes a result that another instance sent.
func DecodeResult(data []byte) (Result, error) {
	var w wire.Result
	if err := proto.Unmarshal(data, &w); err != nil {
		return Result{}, eris.Wrap(err, "replica: decode result")
	}
	var r Result
	if w.Ledger != nil {
		r.Ledger = &ledger.Result{Verdict: ledger.Verdict(w.Ledger.Verdict), Record: recordFromWire(w.Ledger.Record)}
	}
	if w.Config != nil {
		r.Config = &config.Result{
			Accepted: w.Config.Accepted,
			Version:  w.Config.Version,
			Current:  documentFromWire(w.Config.Current),
			Faults:   w.Config.Faults,
		}
	}
	if w.Publish != nil {
		r.Publish = &PublishResult{
			Verdict:  routing.Verdict(w.Publish.Verdict),
			Version:  w.Publish.Version,
			Document: w.Publish.Document,
		}
	}
	return r, nil
}
