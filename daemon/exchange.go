package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/instance"
)

// exchangeInterval is how often an instance talks to each of the others.
const exchangeInterval = 200 * time.Millisecond

// exchangeDuty keeps this instance and the others up to date.
type exchangeDuty struct {
	shared    *shared
	exchanger *instance.Exchanger
}

// run exchanges with every other instance until ctx ends. A peer that is slow to answer is
// left out of later rounds until it has answered, so it holds up nobody else.
func (d *exchangeDuty) run(ctx context.Context) error {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	var busy sync.Map
	for {
		req := d.shared.exchangeRequest()
		for _, address := range d.shared.addresses() {
			if _, loaded := busy.LoadOrStore(address, true); loaded {
				continue
			}
			go func() {
				defer busy.Delete(address)
				resp, err := d.exchanger.Exchange(ctx, address, req)
				if err != nil {
					return
				}
				d.shared.responded(resp)
				d.fetch(ctx, address, resp.Responder.GetSharedIndex())
			}()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-d.shared.facts.published:
		}
	}
}

// fetch takes over the peer's view when it is newer.
func (d *exchangeDuty) fetch(ctx context.Context, address string, index uint64) {
	have := d.shared.View().Index
	if index <= have {
		return
	}
	v, newer, err := d.exchanger.Fetch(ctx, address, have)
	if err == nil && newer {
		d.shared.offerView(v)
	}
}
