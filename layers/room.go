package layers

import "github.com/balsamlb/balsamlb/routing"

// Limit is what limits the drafts that the servers of a data centre can hold.
type Limit string

// The limits.
const (
	// LimitMemory means the memory of the servers that hold a layer.
	LimitMemory Limit = "memory"
	// LimitSlots means the requests that the holders of the first layer accept.
	LimitSlots Limit = "slots"
	// LimitNoCopy means that a layer has no holder.
	LimitNoCopy Limit = "no copy"
)

// Room is the number of drafts of mean length that the servers of a data centre can hold.
type Room struct {
	// Drafts is the number if no drafts run, and Free that of further drafts now.
	Drafts, Free float64
	// Limit limits Free. Layer is the layer at which it does.
	Limit Limit
	Layer int
}

// meanTokens returns the memory, in tokens, that a draft of mean length needs for its admission.
func meanTokens(e *routing.Engine) float64 {
	return max(1, e.MeanPromptTokens+answerReserve*e.MeanAnswerTokens)
}

// Room returns the room of a data centre without the servers for which avoid returns true. It may be called
// concurrently with Find, but not with Update.
func (s *Search) Room(centre string, avoid func(id string) bool) Room {
	var holders []*Holder
	for i := range s.holders {
		if h := &s.holders[i]; h.DataCentre == centre && h.To > h.From && !avoid(h.ID) {
			holders = append(holders, h)
		}
	}
	r := s.slotRoom(holders)
	for at, layer := range s.bounds {
		if layer >= s.engine.Layers || at+1 >= len(s.bounds) {
			break
		}
		drafts, free, isHeld := s.memoryRoom(holders, layer)
		r.Drafts = min(r.Drafts, drafts)
		if !isHeld {
			return Room{Limit: LimitNoCopy, Layer: layer}
		}
		if free < r.Free || r.Limit == "" {
			r.Free, r.Limit, r.Layer = free, LimitMemory, layer
		}
	}
	return r
}

// slotRoom returns the room that the slots of the first layer's holders leave. Its Limit is empty if the
// engine has no slots.
func (s *Search) slotRoom(holders []*Holder) Room {
	if s.engine.Slots <= 0 {
		return Room{Drafts: unlimitedDrafts, Free: unlimitedDrafts}
	}
	r := Room{Limit: LimitSlots}
	for _, h := range holders {
		if h.From == 0 {
			r.Drafts += float64(s.engine.Slots)
			r.Free += float64(max(0, s.engine.Slots-h.Heads-h.UnaccountedHeads))
		}
	}
	return r
}

// unlimitedDrafts is above the drafts that any data centre can hold.
const unlimitedDrafts = 1e9

// memoryRoom returns the drafts for which the holders of a layer have memory, in all and now.
func (s *Search) memoryRoom(holders []*Holder, layer int) (drafts, free float64, isHeld bool) {
	for _, h := range holders {
		if h.From > layer || h.To <= layer {
			continue
		}
		isHeld = true
		capacity := admissionLimit * Capacity(s.engine, h)
		perDraft := meanTokens(s.engine) * float64(h.To-h.From)
		drafts += max(0, capacity) / perDraft
		free += max(0, capacity-h.Used-h.Unaccounted) / perDraft
	}
	return drafts, free, isHeld
}

// Centres returns the data centres of the holders, sorted. The result must not be modified.
func (s *Search) Centres() []string { return s.centres }

// ReadRate returns how many prompts of mean length one path through a data centre reads a second, without the
// servers for which avoid returns true: the least over the layers of the rate of the fastest holder, if it reads for
// all of its layers.
func (s *Search) ReadRate(centre string, avoid func(id string) bool) float64 {
	e := s.engine
	if e.PrefillTokensPerSecond <= 0 || e.MeanPromptTokens <= 0 {
		return 0
	}
	slowest := -1.0
	for _, layer := range s.bounds {
		if layer >= e.Layers {
			break
		}
		rate := 0.0
		for i := range s.holders {
			h := &s.holders[i]
			if h.DataCentre != centre || h.From > layer || h.To <= layer || avoid(h.ID) {
				continue
			}
			share := float64(h.To-h.From) / float64(e.Layers)
			if factor := e.Accelerators[h.Accelerator].PrefillFactor; factor > 0 {
				rate = max(rate, e.PrefillTokensPerSecond/(e.MeanPromptTokens*factor*share))
			}
		}
		if slowest < 0 || rate < slowest {
			slowest = rate
		}
	}
	return max(0, slowest)
}
