// Package logs builds the structured logger of a process.
package logs

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// New returns a logger that writes one JSON object a line to w.
func New(w io.Writer, level string) logr.Logger {
	min := slog.LevelInfo
	switch level {
	case "debug":
		min = slog.LevelDebug
	case "error":
		min = slog.LevelError
	}
	return logr.FromSlogHandler(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: min}))
}
