package metrics

import "github.com/prometheus/client_golang/prometheus"

var (
	controllerHeartbeatsTotal = description{"balsamlb_controller_heartbeats_total", counter, nil,
		"Heartbeats sent to watching instances."}
	controllerHeartbeatBytesTotal = description{"balsamlb_controller_heartbeat_bytes_total", counter, nil,
		"Size of the heartbeats sent to watching instances."}
	controllerVisitedServersTotal = description{"balsamlb_controller_visited_servers_total", counter, nil,
		"Backend servers looked at to find those that have changed since a watcher's last heartbeat."}
	controllerEncodedServersTotal = description{"balsamlb_controller_encoded_servers_total", counter, nil,
		"Changed backend servers encoded for heartbeats, once for all watchers."}
	controllerEncodedUsageTotal = description{"balsamlb_controller_encoded_usage_total", counter, nil,
		"Backend servers whose usage was encoded for heartbeats, once for all watchers."}
)

// controllerDescriptions lists the metrics of a controller in the order of docs/METRICS.md.
var controllerDescriptions = []description{
	controllerHeartbeatsTotal, controllerHeartbeatBytesTotal, controllerVisitedServersTotal,
	controllerEncodedServersTotal, controllerEncodedUsageTotal,
}

// FeedWork is the work of a controller to send heartbeats to watching instances since its start.
type FeedWork struct {
	Heartbeats     uint64
	Bytes          uint64
	VisitedServers uint64
	EncodedServers uint64
	EncodedUsage   uint64
}

// RegisterController registers the metrics of a controller. It calls work several times at each
// scrape, possibly concurrently. It panics if a metric is already registered.
func RegisterController(r prometheus.Registerer, work func() FeedWork) {
	values := map[string]func(FeedWork) uint64{
		controllerHeartbeatsTotal.name:     func(w FeedWork) uint64 { return w.Heartbeats },
		controllerHeartbeatBytesTotal.name: func(w FeedWork) uint64 { return w.Bytes },
		controllerVisitedServersTotal.name: func(w FeedWork) uint64 { return w.VisitedServers },
		controllerEncodedServersTotal.name: func(w FeedWork) uint64 { return w.EncodedServers },
		controllerEncodedUsageTotal.name:   func(w FeedWork) uint64 { return w.EncodedUsage },
	}
	for _, d := range controllerDescriptions {
		value := values[d.name]
		opts := prometheus.CounterOpts{Name: d.name, Help: d.help}
		r.MustRegister(prometheus.NewCounterFunc(opts, func() float64 { return float64(value(work())) }))
	}
}
