// Package logs builds the structured logger of a process.
package logs

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// New returns a logger that writes one JSON object per line to w. The level is debug, info or
// error; any other value means info.
func New(w io.Writer, level string) logr.Logger {
	minLevel := slog.LevelInfo
	switch level {
	case "debug":
		minLevel = slog.LevelDebug
	case "error":
		minLevel = slog.LevelError
	}
	return logr.FromSlogHandler(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: minLevel}))
}
