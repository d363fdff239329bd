package operator

import (
	"bytes"
	_ "embed"
	"html/template"

	"github.com/valyala/fasthttp"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// pageView is what the page shows.
type pageView struct {
	Status
	Moves      []MoveStatus
	Quarantine []QuarantineEntry
}

// writePage shows the state as a page that loads nothing else.
func writePage(ctx *fasthttp.RequestCtx, v pageView) {
	var out bytes.Buffer
	if err := page.Execute(&out, v); err != nil {
		writeFailure(ctx, fasthttp.StatusInternalServerError, err.Error())
		return
	}
	ctx.SetContentType("text/html; charset=utf-8")
	ctx.SetBody(out.Bytes())
}
