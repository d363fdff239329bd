package caller

import (
	"time"

	"github.com/balsamlb/balsamlb/outcome"
	"github.com/balsamlb/balsamlb/settings"
)

const (
	// maxConfigWait is how long a request waits for the first configuration. An instance that has started gets it
	// within some 10 ms from its peers.
	maxConfigWait      = time.Second
	configPollInterval = 5 * time.Millisecond
)

// awaitConfig returns the configuration. A request that comes before an instance has its first one waits for it.
func (h *handler) awaitConfig() (settings.SharedConfig, *outcome.Error) {
	if h.HasConfig == nil {
		return h.Config(), nil
	}
	for end := time.Now().Add(maxConfigWait); !h.HasConfig(); time.Sleep(configPollInterval) {
		if h.ctx.Err() != nil || time.Now().After(end) {
			return settings.SharedConfig{}, unconfirmed("no configuration is in force yet")
		}
	}
	return h.Config(), nil
}

// deny returns the denial of a workspace or service, or another refusal while a newer configuration may have it.
func (h *handler) deny(field, message string) *outcome.Error {
	if h.Unconfirmed != nil {
		if why := h.Unconfirmed(); why != "" {
			return unconfirmed(why)
		}
	}
	return outcome.BadField(field, message)
}

func unconfirmed(why string) *outcome.Error {
	return &outcome.Error{Outcome: outcome.NotRun, Code: outcome.CodeNotConfigured, Message: why, RetryAfter: time.Second}
}
