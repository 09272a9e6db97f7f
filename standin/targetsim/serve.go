package targetsim

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
)

// Answer is the body of a target's answer. It lets the caller check that the
// answer belongs to its request.
type Answer struct {
	ID     string `json:"id"`
	Host   string `json:"host"`
	Method string `json:"method"`
	Path   string `json:"path"`
	// Sum is the checksum of the request's body.
	Sum string `json:"sum"`
}

// Checksum returns the checksum that answers carry.
func Checksum(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}

func (t *Target) serve(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(HeaderRequestID))
	pool := string(ctx.Request.Header.Peek(HeaderPool))
	if t.hit(func(s Switches) float64 { return s.ResetBefore }) {
		reset(ctx)
		return
	}
	if !t.take() {
		t.refuse(ctx)
		return
	}
	interrupt := t.begin(id, pool)
	whole := t.work(ctx, interrupt)
	t.end(pool)
	if !whole || t.hit(func(s Switches) float64 { return s.ResetAfter }) {
		reset(ctx)
		return
	}
	t.answer(ctx, id)
}

func (t *Target) hit(share func(Switches) float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.chance.Draw(share(t.switches))
}

// take claims a slot.
func (t *Target) take() bool {
	select {
	case t.slots <- struct{}{}:
		return true
	default:
	}
	if !t.Switches().Queue {
		return false
	}
	select {
	case t.slots <- struct{}{}:
		return true
	case <-time.After(slotWait):
		return false
	}
}

func (t *Target) refuse(ctx *fasthttp.RequestCtx) {
	t.mu.Lock()
	t.stats.Refused++
	t.mu.Unlock()
	ctx.Error("no free slot", fasthttp.StatusServiceUnavailable)
	ctx.Response.Header.Set(HeaderVerdict, "not-run")
	echo(ctx)
}

// begin counts a task as started and returns the channel that interrupts it.
func (t *Target) begin(id, pool string) <-chan struct{} {
	t.opts.Book.started(id)
	t.mu.Lock()
	defer t.mu.Unlock()
	for other, n := range t.pools {
		if other != pool && n > 0 {
			t.stats.PoolOverlaps++
			break
		}
	}
	t.pools[pool]++
	t.busy++
	t.stats.Executions++
	t.stats.MaxBusy = max(t.stats.MaxBusy, t.busy)
	t.stats.LastStart = time.Now()
	return t.interrupt
}

func (t *Target) end(pool string) {
	t.mu.Lock()
	t.pools[pool]--
	t.busy--
	t.mu.Unlock()
	<-t.slots
}

// work takes the task's service time. It reports false when interrupted.
func (t *Target) work(ctx *fasthttp.RequestCtx, interrupt <-chan struct{}) bool {
	timer := time.NewTimer(t.serviceTime(ctx))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-interrupt:
		return false
	}
}

func (t *Target) serviceTime(ctx *fasthttp.RequestCtx) time.Duration {
	ms, err := strconv.ParseFloat(string(ctx.Request.Header.Peek(HeaderServiceMs)), 64)
	if err != nil || ms < 0 {
		ms = 1
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.switches.FailAll || t.sick {
		return 0
	}
	if t.switches.SlowFactor > 0 {
		ms *= t.switches.SlowFactor
	}
	return time.Duration(ms / t.share * float64(time.Millisecond))
}

func (t *Target) answer(ctx *fasthttp.RequestCtx, id string) {
	s := t.Switches()
	time.Sleep(time.Duration(s.LateMs) * time.Millisecond)
	body, err := json.Marshal(Answer{
		ID:     id,
		Host:   t.opts.Name,
		Method: string(ctx.Method()),
		Path:   string(ctx.RequestURI()),
		Sum:    Checksum(ctx.PostBody()),
	})
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	if t.hit(func(s Switches) float64 { return s.Truncate }) {
		truncate(ctx, body)
		return
	}
	t.mu.Lock()
	failing := s.FailAll || t.sick
	t.mu.Unlock()
	if failing {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
	ctx.Response.Header.Set(HeaderRequestID, id)
	echo(ctx)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// echo repeats the attempt's ID.
func echo(ctx *fasthttp.RequestCtx) {
	if id := ctx.Request.Header.Peek(HeaderAttempt); len(id) > 0 {
		ctx.Response.Header.SetBytesV(HeaderAttempt, id)
	}
}

// reset closes the connection so that its peer sees a reset.
func reset(ctx *fasthttp.RequestCtx) {
	if c, ok := ctx.Conn().(*limitedConn); ok {
		c.reset()
	}
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

// truncate sends half of the body it announced and closes the connection.
func truncate(ctx *fasthttp.RequestCtx, body []byte) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(body))
		_, _ = c.Write(append([]byte(head), body[:len(body)/2]...))
		_ = c.Close()
	})
}
