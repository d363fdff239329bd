package daemon

import (
	"strconv"
	"time"

	"github.com/balsamlb/balsamlb/config"
	"github.com/balsamlb/balsamlb/operator"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/balsamlb/balsamlb/settings"
)

// timestamper adds the time of this control instance to the commands that the instance proposes.
// source identifies the instance and this start of its process.
type timestamper struct {
	source string
	start  time.Time
}

func newTimestamper(instance string) *timestamper {
	now := time.Now()
	return &timestamper{source: instance + "/" + strconv.FormatInt(now.UnixNano(), 36), start: now}
}

// prepare returns the encoded command with its timestamp, or the refusal of a configuration that this
// instance can't read. The instance that the operator called has checked the text too, but its
// release may be older or newer than the leader's and so have other rules.
func (s *timestamper) prepare(data []byte) ([]byte, *config.Result, error) {
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
