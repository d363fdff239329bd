package caller

import (
	"bufio"
	"encoding/json"
	"time"

	"github.com/balsamlb/balsamlb/dispatch"
	"github.com/balsamlb/balsamlb/outcome"
	"github.com/balsamlb/balsamlb/pipeline"
)

// completionChunk is one server-sent event, or the body of a response that is not streamed.
type completionChunk struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	// Outcome is set in the last event of a complete stream.
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
	// keepAliveInterval is how often a comment is sent on a stream. A failed write also
	// reveals that the caller has disconnected.
	keepAliveInterval = time.Second
	keepAliveComment  = ": alive\n\n"
	// doneEvent is the explicit end of a complete stream.
	doneEvent = "data: [DONE]\n\n"
)

// writeStream sends events up to and including the last one. Only a complete stream ends with
// doneEvent; a failed one ends with an error event.
func (c *completionResponse) writeStream(w *bufio.Writer, first *dispatch.DraftEvent) {
	alive := time.NewTicker(keepAliveInterval)
	defer alive.Stop()
	if first != nil && !c.writeEvent(w, *first) {
		return
	}
	for {
		select {
		case e := <-c.events.Items():
			if !c.writeEvent(w, e) {
				return
			}
		case <-alive.C:
			// Flush reports a failed write.
			_, _ = w.WriteString(keepAliveComment)
			if w.Flush() != nil {
				return
			}
		}
	}
}

// writeEvent sends an event. It returns false if that was the last one or if the caller has
// disconnected.
func (c *completionResponse) writeEvent(w *bufio.Writer, e dispatch.DraftEvent) bool {
	c.recordEvent(e)
	switch {
	case e.Err != nil:
		writeData(w, newErrorBody(e.Err))
	case e.Done:
		last := newChunk(c.request, completionChoice{FinishReason: finishLength})
		last.Outcome = outcome.Answered
		writeData(w, last)
		// The Flush that follows reports a failed write.
		_, _ = w.WriteString(doneEvent)
	default:
		writeData(w, newChunk(c.request, tokenChoice(e.Token)))
	}
	return w.Flush() == nil && !e.Done && e.Err == nil
}

func writeData(w *bufio.Writer, v any) {
	// The values hold only strings and numbers, so encoding can't fail. The Flush that follows
	// reports a failed write.
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
