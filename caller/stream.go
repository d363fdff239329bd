package caller

import (
	"bufio"
	"encoding/json"
	"time"

	"github.com/balsamlb/balsamlb/dispatch"
	"github.com/balsamlb/balsamlb/outcome"
	"github.com/balsamlb/balsamlb/pipeline"
)

// completionChunk is one server-sent event, or the whole answer.
type completionChunk struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	// Outcome is set in the last event of a whole answer.
	Outcome outcome.Outcome `json:"outcome,omitempty"`
}

type completionChoice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	TokenIndex   *int   `json:"token_index,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"`
}

const (
	objectCompletion = "text_completion"
	finishLength     = "length"
	// keepAliveInterval is how often a quiet stream carries a comment, which also shows
	// whether the caller is still there.
	keepAliveInterval = time.Second
	keepAliveComment  = ": alive\n\n"
	// endMark is the explicit end of a whole answer.
	endMark = "data: [DONE]\n\n"
)

// writeStream sends events until the last one. Only a whole answer gets the end mark; any
// other end is told as an error inside the stream.
func (a *answer) writeStream(w *bufio.Writer, first *dispatch.DraftEvent) {
	alive := time.NewTicker(keepAliveInterval)
	defer alive.Stop()
	if first != nil && !a.writeEvent(w, *first) {
		return
	}
	for {
		select {
		case e := <-a.events.Items():
			if !a.writeEvent(w, e) {
				return
			}
		case <-alive.C:
			// A failed write is seen by the Flush.
			_, _ = w.WriteString(keepAliveComment)
			if w.Flush() != nil {
				return
			}
		}
	}
}

// writeEvent sends an event; false means that it was the last one or that the caller has gone.
func (a *answer) writeEvent(w *bufio.Writer, e dispatch.DraftEvent) bool {
	a.observe(e)
	switch {
	case e.Err != nil:
		writeData(w, newErrorBody(e.Err))
	case e.Done:
		last := newChunk(a.request, completionChoice{FinishReason: finishLength})
		last.Outcome = outcome.Answered
		writeData(w, last)
		// A failed write is seen by the Flush that follows.
		_, _ = w.WriteString(endMark)
	default:
		writeData(w, newChunk(a.request, tokenChoice(e.Token)))
	}
	return w.Flush() == nil && !e.Done && e.Err == nil
}

func writeData(w *bufio.Writer, v any) {
	// The values hold only strings and numbers, which always encode; a failed write is seen
	// by the Flush that follows.
	data, _ := json.Marshal(v)
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(data)
	_, _ = w.WriteString("\n\n")
}

func newChunk(r dispatch.Draft, c completionChoice) completionChunk {
	return completionChunk{ID: r.ID, Object: objectCompletion, Model: r.Service.Name, Choices: []completionChoice{c}}
}

func tokenChoice(t pipeline.Token) completionChoice {
	return completionChoice{Text: t.Text, TokenIndex: &t.Index}
}
