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

// pageView is the data of the page template.
type pageView struct {
	Status
	Moves      []MoveStatus
	Quarantine []QuarantineEntry
}

// writePage writes the status as a self-contained page, which loads no other resources.
func writePage(ctx *fasthttp.RequestCtx, v pageView) {
	var out bytes.Buffer
	if err := page.Execute(&out, v); err != nil {
		writeError(ctx, fasthttp.StatusInternalServerError, err.Error())
		return
	}
	ctx.SetContentType("text/html; charset=utf-8")
	ctx.SetBody(out.Bytes())
}
