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

// writePage shows the status as a page that loads nothing else.
func writePage(ctx *fasthttp.RequestCtx, s Status) {
	var out bytes.Buffer
	if err := page.Execute(&out, s); err != nil {
		writeFailure(ctx, fasthttp.StatusInternalServerError, err.Error())
		return
	}
	ctx.SetContentType("text/html; charset=utf-8")
	ctx.SetBody(out.Bytes())
}
