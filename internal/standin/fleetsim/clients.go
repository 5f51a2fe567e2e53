package fleetsim

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"olivearch/internal/faulttest/event"
	"olivearch/internal/http1"
)

// clients ask all balancers, at random times whatever becomes of those before.
type clients struct {
	spec    Spec
	tell    *event.Writer
	targets []string
	fronts  []*front
	ids     atomic.Uint64
	open    sync.WaitGroup
}

// front keeps connections to one balancer; the last used goes first.
type front struct {
	address string
	mu      sync.Mutex
	idle    []*line
}

// line is a connection with its reader.
type line struct {
	net.Conn
	in   *bufio.Reader
	used bool
}

func newClients(s Spec, tell *event.Writer) *clients {
	c := &clients{spec: s, tell: tell}
	c.ids.Store(s.Seed << 40)
	return c
}

func (c *clients) obey(x Command) error {
	switch x.Verb {
	case Targets:
		for _, a := range x.Addresses {
			c.fronts = append(c.fronts, &front{address: a})
		}
	case Ask:
		if len(c.fronts) == 0 {
			return errors.New("clients were told of no balancer")
		}
		go c.run()
	default:
		return fmt.Errorf("clients do not know verb %d", x.Verb)
	}
	return nil
}

// run asks until the time is over, and tells when all is answered.
func (c *clients) run() {
	end := time.Now().Add(c.spec.Length)
	var all sync.WaitGroup
	for i := range c.fronts {
		all.Go(func() { c.stream(i, end) })
	}
	all.Wait()
	c.open.Wait()
	c.tell.Tell(event.Event{Kind: event.Over})
}

// workMost bounds a request's work, in multiples of the mean.
const workMost = 4

// stream is what is asked of one balancer.
func (c *clients) stream(balancer int, end time.Time) {
	rng := rand.New(rand.NewPCG(c.spec.Seed, uint64(balancer)))
	next := time.Now()
	for {
		next = next.Add(time.Duration(rng.ExpFloat64() / c.spec.Rates[balancer] * float64(time.Second)))
		if next.After(end) {
			return
		}
		time.Sleep(time.Until(next))
		work, turn := time.Duration(min(rng.ExpFloat64(), workMost)*float64(c.spec.Work)), rng.Uint64()
		c.open.Add(1)
		go func() {
			defer c.open.Done()
			c.request(balancer, work, turn)
		}()
	}
}

// request is a client's wish, with its later tries. turn draws where these go.
func (c *clients) request(balancer int, work time.Duration, turn uint64) {
	first := uint64(0)
	for try := 0; ; try++ {
		id := c.ids.Add(1)
		if first == 0 {
			first = id
		}
		status, wait, crossed := c.try(id, first, balancer, work, try)
		if status == 200 || (status != 429 && status != 503 && status != untaken && !crossed) {
			return
		}
		if crossed && c.spec.Effect == event.Unsafe && status != untaken {
			// Nobody can tell whether it was read: asked again it might run twice, and that would be the client's doing.
			return
		}
		if try >= c.spec.Retries {
			return
		}
		time.Sleep(wait)
		turn = turn*6364136223846793005 + 1442695040888963407
		balancer = int(turn >> 33 % uint64(len(c.fronts)))
	}
}

const (
	untaken = -1
	dialIn  = 500 * time.Millisecond
	// comeBack is when a client tries again that was told nothing better.
	comeBack = 50 * time.Millisecond
	waitMost = 2 * time.Second
)

// try asks once. crossed: its connection, which had been used before, ended without a byte.
func (c *clients) try(id, first uint64, balancer int, work time.Duration, try int) (status int, wait time.Duration, crossed bool) {
	f := c.fronts[balancer]
	e := event.Event{Kind: event.Untaken, ID: id, Balancer: int32(balancer)}
	x, err := f.get()
	if err != nil {
		c.tell.Tell(e)
		return untaken, comeBack, false
	}
	method, key, retry := http.MethodPost, "", ""
	switch c.spec.Effect {
	case event.Safe:
		method = http.MethodGet
	case event.Keyed:
		key = fmt.Sprintf("Idempotency-Key: %016x\r\n", first)
	}
	if try > 0 {
		retry = "X-Retry: 1\r\n"
	}
	limit := c.spec.Deadline
	length := ""
	if method == http.MethodPost {
		length = "Content-Length: 0\r\n"
	}
	text := fmt.Sprintf("%s /c?us=%d HTTP/1.1\r\nHost: ground\r\nX-Class: c\r\nX-Tenant: t\r\nX-Request-Id: %016x\r\nX-Deadline-Ms: %d\r\nX-Cost-Hint: %d\r\n%s%s%s\r\n",
		method, work.Microseconds(), id, limit.Milliseconds(), work.Microseconds(), key, retry, length)
	reused := x.used
	x.used = true
	at := event.Now()
	x.SetDeadline(time.Now().Add(limit + patience))
	if _, err := io.WriteString(x, text); err != nil {
		x.Close()
		c.tell.Tell(e)
		return untaken, comeBack, false
	}
	asked := event.Event{Kind: event.Asked, At: at, ID: id, First: first, Balancer: int32(balancer), Effect: c.spec.Effect, Limit: int64(limit), Work: int64(work)}
	c.tell.Tell(asked)
	answer := event.Event{Kind: event.Answered, ID: id, Balancer: int32(balancer), Fresh: !reused}
	r, err := http.ReadResponse(x.in, nil)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(io.LimitReader(r.Body, 1<<16))
		if err == nil {
			answer.Status = int32(r.StatusCode)
			answer.Stamp, _ = strconv.ParseUint(string(body), 16, 64) // no stamp: what no node made
			wait = advice(r.Header.Get("Retry-After"))
		}
	}
	switch {
	case err == nil && !r.Close:
		f.put(x)
	default:
		x.Close()
	}
	c.tell.Tell(answer)
	var timeout net.Error
	return int(answer.Status), max(wait, time.Millisecond), err != nil && reused && !(errors.As(err, &timeout) && timeout.Timeout())
}

// patience is how much longer than its limit a client listens, so that a late answer is seen as one.
const patience = 2 * time.Second

func advice(text string) time.Duration {
	s, err := strconv.ParseFloat(text, 64)
	if err != nil || s < 0 {
		return comeBack
	}
	return min(waitMost, time.Duration(s*float64(time.Second)))
}

func (f *front) get() (*line, error) {
	f.mu.Lock()
	if n := len(f.idle); n > 0 {
		x := f.idle[n-1]
		f.idle = f.idle[:n-1]
		f.mu.Unlock()
		if !http1.Peek(x.Conn).Gone() {
			return x, nil
		}
		x.Close()
		return f.get()
	}
	f.mu.Unlock()
	c, err := net.DialTimeout("tcp", f.address, dialIn)
	if err != nil {
		return nil, err
	}
	return &line{Conn: c, in: bufio.NewReaderSize(c, 1024)}, nil
}

func (f *front) put(x *line) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.idle = append(f.idle, x)
}
