package daemon

import (
	"strconv"
	"time"

	"github.com/balsamlb/balsamlb/config"
	"github.com/balsamlb/balsamlb/operator"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/balsamlb/balsamlb/settings"
)

// stamper puts this control instance's time into the commands that it takes in.
type stamper struct {
	source string
	start  time.Time
}

func newStamper(instance string) *stamper {
	now := time.Now()
	return &stamper{source: instance + "/" + strconv.FormatInt(now.UnixNano(), 36), start: now}
}

// admit returns the command as it enters the log, or the refusal of a configuration that this
// instance can't read. The operator's instance has checked the text by its own rules, which
// may be older or newer than the leader's.
func (s *stamper) admit(data []byte) ([]byte, *config.Result, error) {
	c, err := replica.Decode(data)
	if err != nil {
		return nil, nil, err
	}
	now := time.Now()
	if c.Change != nil {
		if faults := operator.CheckConfig(c.Change.Base, c.Change.Overlays); len(faults) > 0 {
			return nil, &config.Result{Faults: faults}, nil
		}
		c.Change.Schema = settings.SchemaID()
		c.Change.At = now
		if data, err = c.Encode(); err != nil {
			return nil, nil, err
		}
	}
	data, err = replica.AddTimestamp(data, replica.Timestamp{Source: s.source, Monotonic: now.Sub(s.start), Wall: now})
	return data, nil, err
}
