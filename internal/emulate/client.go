package emulate

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

const clientTimeout = 2 * time.Second

// SetFault injects a fault into the server at the address. It takes effect shortly after SetFault
// returns.
func SetFault(address string, f Fault) error {
	body, err := json.Marshal(f)
	if err != nil {
		return eris.Wrap(err, "emulate: encode fault")
	}
	_, err = request(fasthttp.MethodPost, address, PathFault, body)
	return err
}

// Leave makes the server at the address announce that it is leaving.
func Leave(address string) error {
	_, err := request(fasthttp.MethodPost, address, PathLeave, nil)
	return err
}

// FetchCounts returns the counts of the process that emulates the server at the address.
func FetchCounts(address string) (Summary, error) {
	var s Summary
	body, err := request(fasthttp.MethodGet, address, PathCounts, nil)
	if err != nil {
		return s, err
	}
	return s, eris.Wrapf(json.Unmarshal(body, &s), "emulate: decode counts of %s", address)
}

func request(method, address, path string, body []byte) ([]byte, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	req.SetBody(body)
	client := newHostClient(address, clientTimeout)
	defer client.CloseIdleConnections()
	if err := client.Do(req, resp); err != nil {
		return nil, eris.Wrapf(err, "emulate: %s %s%s", method, address, path)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, eris.Errorf("emulate: %s %s%s: status %d", method, address, path, resp.StatusCode())
	}
	return append([]byte(nil), resp.Body()...), nil
}
