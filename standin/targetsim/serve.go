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

// ResponseBody is the body of a target's response. It lets the caller check that the
// response belongs to its request.
type ResponseBody struct {
	ID     string `json:"id"`
	Host   string `json:"host"`
	Method string `json:"method"`
	Path   string `json:"path"`
	// Sum is the checksum of the request body.
	Sum string `json:"sum"`
}

// Checksum returns the checksum of a request body, as responses carry it.
func Checksum(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}

func (t *Target) serve(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(HeaderRequestID))
	pool := string(ctx.Request.Header.Peek(HeaderPool))
	if t.drawFault(func(s Switches) float64 { return s.ResetBefore }) {
		resetConnection(ctx)
		return
	}
	if !t.acquireSlot() {
		t.reject(ctx)
		return
	}
	interrupt := t.startTask(id, pool)
	completed := t.simulateWork(ctx, interrupt)
	t.endTask(pool)
	if !completed || t.drawFault(func(s Switches) float64 { return s.ResetAfter }) {
		resetConnection(ctx)
		return
	}
	t.respond(ctx, id)
}

func (t *Target) drawFault(share func(Switches) float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sampler.Draw(share(t.switches))
}

// acquireSlot reserves a slot. It waits for one only when the target queues requests.
func (t *Target) acquireSlot() bool {
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
	case <-time.After(slotTimeout):
		return false
	}
}

func (t *Target) reject(ctx *fasthttp.RequestCtx) {
	t.mu.Lock()
	t.stats.Rejected++
	t.mu.Unlock()
	ctx.Error("no free slot", fasthttp.StatusServiceUnavailable)
	ctx.Response.Header.Set(HeaderVerdict, "not-run")
	echoAttemptID(ctx)
}

// startTask records the start of a task and returns the channel that interrupts it.
func (t *Target) startTask(id, pool string) <-chan struct{} {
	t.opts.Counter.recordStart(id)
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

func (t *Target) endTask(pool string) {
	t.mu.Lock()
	t.pools[pool]--
	t.busy--
	t.mu.Unlock()
	<-t.slots
}

// simulateWork waits for the service time of the task. It reports false when
// interrupted.
func (t *Target) simulateWork(ctx *fasthttp.RequestCtx, interrupt <-chan struct{}) bool {
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
	if t.switches.FailAll || t.unhealthy {
		return 0
	}
	if t.switches.SlowFactor > 0 {
		ms *= t.switches.SlowFactor
	}
	return time.Duration(ms / t.throttleShare * float64(time.Millisecond))
}

func (t *Target) respond(ctx *fasthttp.RequestCtx, id string) {
	s := t.Switches()
	time.Sleep(time.Duration(s.LateMs) * time.Millisecond)
	body, err := json.Marshal(ResponseBody{
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
	if t.drawFault(func(s Switches) float64 { return s.Truncate }) {
		truncateResponse(ctx, body)
		return
	}
	t.mu.Lock()
	failing := s.FailAll || t.unhealthy
	t.mu.Unlock()
	if failing {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
	ctx.Response.Header.Set(HeaderRequestID, id)
	echoAttemptID(ctx)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// echoAttemptID copies the attempt ID of the request to the response.
func echoAttemptID(ctx *fasthttp.RequestCtx) {
	if id := ctx.Request.Header.Peek(HeaderAttempt); len(id) > 0 {
		ctx.Response.Header.SetBytesV(HeaderAttempt, id)
	}
}

// resetConnection closes the connection so that the peer sees a TCP reset.
func resetConnection(ctx *fasthttp.RequestCtx) {
	if c, ok := ctx.Conn().(*limitedConn); ok {
		c.resetOnClose()
	}
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

// truncateResponse announces the whole body, sends half of it and closes the
// connection.
func truncateResponse(ctx *fasthttp.RequestCtx, body []byte) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(body))
		_, _ = c.Write(append([]byte(head), body[:len(body)/2]...))
		_ = c.Close()
	})
}
