package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sized returns a request with an objective and an answer of the given length.
func sized(id string, tokens int) Request {
	r := ranked(id, 0, epoch)
	r.Tokens = tokens
	return r
}

// Under shortage every second start is the shortest request that waits, and the others keep the order of arrivals, so
// that long ones are neither served as often as short ones nor starved.
func TestEverySecondStartUnderShortageIsOfTheLeastWork(t *testing.T) {
	is := is.New(t)
	c := filled(6)
	for _, tokens := range []int{400, 300, 200, 100, 50, 20} {
		is.Equal(c.Arrive(epoch, sized(fmt.Sprint("of ", tokens), tokens))[0].Verdict, Wait)
	}
	var order []string
	for i := range 6 {
		order = append(order, started(c.Ended(epoch, fmt.Sprint("running", i), true))...)
	}
	is.Equal(order, []string{"of 400", "of 20", "of 300", "of 50", "of 200", "of 100"})
}

// With room, what waits for its turn to be read keeps the order of arrivals.
func TestOrderOfArrivalsIsKeptWithRoom(t *testing.T) {
	is := is.New(t)
	c := readingController()
	for i := range 2 {
		c.Arrive(epoch, reader(fmt.Sprint("first", i), 0))
	}
	for _, tokens := range []int{300, 200, 100} {
		c.Arrive(epoch, sized(fmt.Sprint("of ", tokens), tokens))
	}
	var order []string
	for _, id := range []string{"first0", "first1", "of 300"} {
		c.Begun(epoch.Add(20*time.Millisecond), id)
		order = append(order, started(c.Tick(epoch.Add(20*time.Millisecond)))...)
	}
	is.Equal(order, []string{"of 300", "of 200", "of 100"})
}
