package emulate

import (
	"context"
	"encoding/json"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

const (
	announceInterval = 400 * time.Millisecond
	announceTimeout  = 300 * time.Millisecond
)

// announceAll announces the server to one instance at a time, moving on when one fails.
func (e *engine) announceAll(ctx context.Context, instances []string) error {
	if len(instances) == 0 {
		return nil
	}
	client := &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	at := int(e.self.Incarnation) % len(instances)
	for {
		if !e.isMute() && e.announceTo(client, instances[at]) != nil {
			at = (at + 1) % len(instances)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-e.faults.crashed:
			return nil
		case <-ticker.C:
		}
	}
}

func (e *engine) isMute() bool { return e.faults.has(FaultMute) || e.faults.has(FaultFreeze) }

func (e *engine) announceTo(client *fasthttp.Client, address string) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	// The announcement holds only plain values, which always encode.
	body, _ := json.Marshal(e.announcement())
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + backend.PathAnnounce)
	req.SetBody(body)
	if err := client.DoTimeout(req, resp, announceTimeout); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return eris.Errorf("emulate: announce to %s: %s", address, resp.Body())
	}
	return nil
}
