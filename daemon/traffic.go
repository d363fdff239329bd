package daemon

import (
	"github.com/balsamlb/balsamlb/internal/meter"
	"github.com/balsamlb/balsamlb/metrics"
)

// traffic counts the control traffic of one instance on its sockets.
type traffic struct {
	// instances counts the traffic with other instances, and backends counts the traffic of backend
	// servers' announcements.
	instances meter.Traffic
	backends  meter.Traffic
}

func trafficState(t *meter.Traffic) metrics.Traffic {
	return metrics.Traffic{ReceivedBytes: t.Received(), SentBytes: t.Sent(), Connections: t.Opened()}
}
