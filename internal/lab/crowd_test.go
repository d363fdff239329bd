package lab

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

func callersOf(c *crowdDeployment) string { return c.Gateways[0].CallerAddress() }

func bodyCrowds(method, path string, length int) []crowd {
	return []crowd{
		{"in one piece, without their last byte", 100, shortOf(method, path, length, length)},
		{"in small pieces, without their last byte", 100, shortOf(method, path, length, 1500)},
		{"in chunks of a byte", 100, chunks(method, path, length, 1)},
		{"in chunks, far over the limit", 100, chunks(method, path, 4*length, 32<<10)},
		{"of a stated length far over the limit", 100, shortOf(method, path, 8*length, 32<<10)},
	}
}

// Guards against a gateway that runs out of memory by bodies that never end.
func TestGatewayOutlivesBodiesThatStop(t *testing.T) {
	outlivesEach(t, callersOf, bodyCrowds("POST", firstPrefix, crowdBodyBytes)...)
}

func fieldCrowds(path string) []crowd {
	return []crowd{
		{"open before their end", 1000, sends(manyFields("GET", path, crowdHeadBytes))},
		{"whole, with a body that stops", 1000, sends(manyFields("POST", path, crowdHeadBytes, "Content-Length: 10") + "\r\n123456789")},
		{"over the limit of the routing document", 500, sends(manyFields("GET", path, 65_000))},
	}
}

// Guards against a gateway that runs out of memory by heads of very many short fields.
func TestGatewayOutlivesHeadsOfManyFields(t *testing.T) {
	outlivesEach(t, callersOf, fieldCrowds(firstPrefix)...)
}

// Guards against heads and bodies at paths without a route, which no request's account holds.
func TestGatewayOutlivesCrowdsWithoutARoute(t *testing.T) {
	outlivesEach(t, callersOf, append(fieldCrowds(noRoute)[:2], bodyCrowds("POST", noRoute, crowdBodyBytes)[0])...)
}

// Guards against what is held for requests that were sent ahead while nobody reads the answers.
func TestGatewayOutlivesRequestsSentAhead(t *testing.T) {
	ahead := strings.Repeat(requestHead("GET", noRoute)+"\r\n", 5000)
	outlivesEach(t, callersOf,
		crowd{"small answers", 300, sends(strings.Repeat(requestHead("GET", firstPrefix)+"\r\n", 5000))},
		crowd{"large answers", 300, sends(strings.Repeat(requestHead("GET", crowdLarge)+"\r\n", 1000))},
		crowd{"behind a large body", 300, sendsIn(requestHead("POST", noRoute, "Content-Length: 1000000")+"\r\n", append(make([]byte, 1_000_000), ahead...), 64<<10, 0)},
	)
}

// Guards against callers that hold memory by sending a little now and then.
func TestGatewayOutlivesSlowSenders(t *testing.T) {
	heads := manyFields("GET", firstPrefix, crowdHeadBytes)
	outlivesEach(t, callersOf,
		crowd{"heads", 1000, sendsIn(heads[:len(heads)-200], []byte(heads[len(heads)-200:]), 5, 100*time.Millisecond)},
		crowd{"bodies", 100, sendsIn(requestHead("POST", firstPrefix, fmt.Sprintf("Content-Length: %d", crowdBodyBytes))+"\r\n"+
			strings.Repeat("x", crowdBodyBytes-200), make([]byte, 100), 1, 100*time.Millisecond)},
	)
}

// Guards against what is held for large answers that nobody reads.
func TestGatewayOutlivesSlowReaders(t *testing.T) {
	outlivesEach(t, callersOf, crowd{"large answers", 500, sends(requestHead("GET", crowdLarge) + "\r\n")})
}

// Guards against connections of callers that leave no descriptors for servers and instances.
func TestGatewayOutlivesIdleConnections(t *testing.T) {
	outlivesEach(t, callersOf,
		crowd{"without a byte", 4500, sends("")},
		crowd{"after a request", 4500, sends(requestHead("GET", noRoute) + "\r\n")},
	)
}

// outlivesAtOnce plays crowds beside each other.
func outlivesAtOnce(t *testing.T, name string, address func(c *crowdDeployment) string, crowds ...crowd) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		c := startCrowdDeployment(t)
		c.outlives(address(c), crowds...)
	})
}

// Guards against crowds that are bounded each, but not together.
func TestGatewayOutlivesSeveralCrowdsAtOnce(t *testing.T) {
	outlivesAtOnce(t, "all", callersOf, fieldCrowds(firstPrefix)[0], fieldCrowds(noRoute)[1], bodyCrowds("POST", firstPrefix, crowdBodyBytes)[0],
		bodyCrowds("POST", firstPrefix, crowdBodyBytes)[2], crowd{"unread", 200, sends(requestHead("GET", crowdLarge) + "\r\n")},
		crowd{"without a byte", 1000, sends("")})
}

// outlivesAtDoor plays crowds at a door that isn't for callers.
func outlivesAtDoor(t *testing.T, role string, address func(c *crowdDeployment) string, method, path string) {
	t.Helper()
	outlivesAtOnce(t, role+" bodies", address, bodyCrowds(method, path, crowdBodyBytes)...)
	outlivesAtOnce(t, role+" heads and idle connections", address,
		crowd{"open", 1000, sends(manyFields(method, path, crowdHeadBytes))},
		crowd{"short", 1000, sends(manyFields(method, path, 4000))},
		crowd{"whole", 1000, sends(manyFields(method, path, 4000, "Content-Length: 10") + "\r\n123456789")},
		crowd{"without a byte", 4500, sends("")})
}

// Guards against crowds at the address that is asked for readiness.
func TestReadinessOutlivesCrowds(t *testing.T) {
	outlivesAtDoor(t, "gateway", func(c *crowdDeployment) string { return c.Gateways[0].ReadyAddress() }, "POST", "/-/readiness")
}

// Guards against crowds at the address for operators and backend servers.
func TestControlOutlivesCrowds(t *testing.T) {
	address := func(c *crowdDeployment) string { return c.Controls[0].ControlAddress() }
	outlivesAtDoor(t, "control instance", address, "PUT", soakConfigPath)
	outlivesAtOnce(t, "without a call", address, shortOfAll(noRoute))
}

func shortOfAll(path string) crowd {
	return crowd{"bodies", 100, shortOf("POST", path, crowdBodyBytes, crowdBodyBytes)}
}

// Guards against crowds at the addresses of metrics, of both roles.
func TestMetricsOutliveCrowds(t *testing.T) {
	outlivesAtDoor(t, "gateway", func(c *crowdDeployment) string { return c.Gateways[0].MetricsAddress() }, "POST", "/metrics")
	outlivesAtDoor(t, "control instance", func(c *crowdDeployment) string { return c.Controls[0].MetricsAddress() }, "POST", "/metrics")
}

// Guards against crowds at the addresses for other instances, of both roles.
func TestPortsBetweenInstancesOutliveCrowds(t *testing.T) {
	crowds := []crowd{{"messages that stop", 100, sends(partOfFrame(1, 4<<20-1<<10))}, shortOfAll(noRoute), {"without a byte", 4500, sends("")}}
	outlivesAtOnce(t, "gateway", func(c *crowdDeployment) string { return c.Gateways[0].InstanceAddress() }, crowds...)
	outlivesAtOnce(t, "control instance", func(c *crowdDeployment) string { return c.Controls[0].InstanceAddress() }, crowds...)
}

// Guards against connections that are trusted for ever once they have carried a call.
func TestPortsBetweenInstancesOutliveCrowdsThatCall(t *testing.T) {
	crowds := []crowd{
		{"messages that stop", 400, pauses(unknownCall, 200*time.Millisecond, partOfFrame(2, 4<<20-1<<10))},
		{"idle", 4500, sends(unknownCall)},
	}
	t.Run("gateway", func(t *testing.T) {
		outlivesEach(t, func(c *crowdDeployment) string { return c.Gateways[0].InstanceAddress() }, crowds...)
	})
	t.Run("control instance", func(t *testing.T) {
		outlivesEach(t, func(c *crowdDeployment) string { return c.Controls[0].InstanceAddress() }, crowds...)
	})
}

// Guards against limits that a caller inside the limits of the routing document meets in calm.
func TestExtremeRequestsAreServedInCalm(t *testing.T) {
	c := startCrowdDeployment(t)
	body := make([]byte, crowdBodyBytes)
	post := requestHead("POST", firstPrefix, fmt.Sprintf("Content-Length: %d", crowdBodyBytes)) + "\r\n"
	small := requestHead("GET", firstPrefix) + "\r\n"
	for _, r := range []struct {
		name    string
		send    sender
		answers int
	}{
		{"a head of many fields", sends(manyFields("GET", firstPrefix, crowdHeadBytes) + "\r\n"), 1},
		{"a head of many fields, with a body", sends(manyFields("POST", firstPrefix, crowdHeadBytes, fmt.Sprintf("Content-Length: %d", crowdBodyBytes)) + "\r\n" + string(body)), 1},
		{"a large body", sends(post + string(body)), 1},
		{"a large body in chunks", sends(requestHead("POST", firstPrefix, "Transfer-Encoding: chunked") + "\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", crowdBodyBytes, body)), 1},
		{"a slow head", sendsIn("", []byte(manyFields("GET", firstPrefix, 2000)+"\r\n"), 100, 100*time.Millisecond), 1},
		{"a slow body", sendsIn(requestHead("POST", firstPrefix, "Content-Length: 3000")+"\r\n", body[:3000], 100, 200*time.Millisecond), 1},
		{"a connection used again after four fifths of the idle time", pauses(small, 12*time.Second, small), 2},
		{"requests sent ahead", sends(strings.Repeat(small, 100)), 100},
		{"a large answer, read late", pauses(requestHead("GET", crowdLarge)+"\r\n", 3*time.Second, ""), 1},
	} {
		t.Run(r.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", callersOf(c))
			requireNoError(t, err)
			defer conn.Close()
			r.send(t.Context(), conn)
			answers := bufio.NewReader(conn)
			for n := range r.answers {
				resp, err := http.ReadResponse(answers, nil)
				if err != nil {
					t.Fatalf("answer %d: %v", n+1, err)
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
					t.Fatalf("answer %d: status %d, %v", n+1, resp.StatusCode, err)
				}
			}
		})
	}
}

// Guards against bodies of legal size that decode to many times their size.
func TestControlOutlivesDocumentsOfManyShortFields(t *testing.T) {
	put := func(path, open, element string) sender {
		body := open + strings.Repeat(element+",", (crowdBodyBytes-100)/(len(element)+1)) + element + "]}"
		return sends(requestHead("PUT", path, fmt.Sprintf("Content-Length: %d", len(body))) + "\r\n" + body)
	}
	outlivesEach(t, func(c *crowdDeployment) string { return c.Controls[0].ControlAddress() },
		crowd{"routes", 4, put(soakConfigPath, `{"Version":1,"Routes":[`, `{}`)},
		crowd{"numbers for routes", 4, put(soakConfigPath, `{"Version":1,"Routes":[`, `1`)},
		crowd{"routes that are valid but for their names", 4, put(soakConfigPath, `{"Version":1,"Routes":[`, `{"Kind":"idempotent"}`)},
		crowd{"tenants", 4, put(soakConfigPath, `{"Version":1,"Tenants":[`, `{}`)},
		crowd{"keys", 4, put(soakConfigPath, `{"Version":1,"Tenants":[{"ApiKeys":[`, `""`)},
	)
}

// Guards against answers that are held for clients that ask again and again and read none.
func TestOtherDoorsOutliveUnreadAnswers(t *testing.T) {
	unread := func(path string) crowd {
		return crowd{"unread " + path, 600, sends(strings.Repeat(requestHead("GET", path)+"\r\n", 200))}
	}
	t.Run("large configuration", func(t *testing.T) {
		c := startCrowdDeployment(t)
		random := make([]byte, 1<<20)
		_, _ = rand.NewChaCha8([32]byte{1}).Read(random)
		c.notes = hex.EncodeToString(random)
		c.waitServed()
		c.outlives(c.Controls[0].ControlAddress(), unread(soakConfigPath))
	})
	outlivesAtOnce(t, "metrics of the gateway", func(c *crowdDeployment) string { return c.Gateways[0].MetricsAddress() }, unread("/metrics"))
	outlivesAtOnce(t, "metrics of the control instance", func(c *crowdDeployment) string { return c.Controls[0].MetricsAddress() }, unread("/metrics"))
	outlivesAtOnce(t, "readiness", func(c *crowdDeployment) string { return c.Gateways[0].ReadyAddress() }, unread("/-/readiness"))
}
