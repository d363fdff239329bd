// Package balancer serves liveness and readiness to the load balancer in front of the instances, and
// metrics to monitoring.
package balancer

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

// The paths of the liveness check, the readiness check and the metrics.
const (
	PathLive    = "/livez"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
)

// maxBodyBytes bounds the body of a request; no call needs one.
const maxBodyBytes = 1 << 10

// Readiness returns the reason why the instance should receive no new callers, or "" if it is ready.
type Readiness func() (reason string)

// NewServer returns the HTTP server for monitoring and for the load balancer in front of the
// instances.
func NewServer(ready Readiness, registry *prometheus.Registry) *fasthttp.Server {
	metrics := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return &fasthttp.Server{
		Name:               "balsamlb",
		MaxRequestBodySize: maxBodyBytes,
		Handler: func(ctx *fasthttp.RequestCtx) {
			switch string(ctx.Path()) {
			case PathLive:
				ctx.SetBodyString("alive\n")
			case PathReady:
				writeReadiness(ctx, ready())
			case PathMetrics:
				metrics(ctx)
			default:
				ctx.Error("not found", fasthttp.StatusNotFound)
			}
		},
	}
}

func writeReadiness(ctx *fasthttp.RequestCtx, reason string) {
	if reason == "" {
		ctx.SetBodyString("ready\n")
		return
	}
	ctx.Error(reason+"\n", fasthttp.StatusServiceUnavailable)
}
