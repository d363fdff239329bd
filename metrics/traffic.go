package metrics

import "github.com/prometheus/client_golang/prometheus"

// Labels of the control traffic metrics.
const (
	LabelPeer      = "peer"
	LabelDirection = "direction"
)

var (
	controlBytesTotal = description{"balsamlb_control_bytes_total", counter, []string{LabelPeer, LabelDirection},
		"Bytes at the sockets of control traffic: with other instances, and of announcements by backend servers."}
	controlConnectionsTotal = description{"balsamlb_control_connections_total", counter, []string{LabelPeer},
		"Connections that carried control traffic."}
)

// Traffic counts the control traffic with one kind of peer since the process started.
type Traffic struct {
	ReceivedBytes uint64
	SentBytes     uint64
	Connections   uint64
}

// registerTraffic registers the metrics of the control traffic with one kind of peer.
func registerTraffic(r prometheus.Registerer, peer string, read func() Traffic) {
	r.MustRegister(
		newBytesCounter(peer, "received", func() uint64 { return read().ReceivedBytes }),
		newBytesCounter(peer, "sent", func() uint64 { return read().SentBytes }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name:        controlConnectionsTotal.name,
			Help:        controlConnectionsTotal.help,
			ConstLabels: prometheus.Labels{LabelPeer: peer},
		}, func() float64 { return float64(read().Connections) }),
	)
}

func newBytesCounter(peer, direction string, read func() uint64) prometheus.CounterFunc {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name:        controlBytesTotal.name,
		Help:        controlBytesTotal.help,
		ConstLabels: prometheus.Labels{LabelPeer: peer, LabelDirection: direction},
	}, func() float64 { return float64(read()) })
}
