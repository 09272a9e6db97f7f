package platformsim_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/platform"
	"greengagedeck/internal/platform/httpplatform"
	"greengagedeck/standin/platformsim"
)

const stream = platform.StreamControl

// start serves a platform and returns it with a client of httpplatform.
func start(t *testing.T, opts platformsim.Options) (*platformsim.Platform, *httpplatform.Client) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	p := platformsim.New(opts)
	go func() { _ = p.Serve(ln) }()
	c := httpplatform.New(httpplatform.Options{BaseURL: "http://" + ln.Addr().String()})
	t.Cleanup(func() {
		c.Close()
		_ = ln.Close()
		_ = p.Close()
	})
	return p, c
}

func TestRecordsKeepTheirBytesAndOrder(t *testing.T) {
	g := NewWithT(t)
	_, c := start(t, platformsim.Options{})
	ctx := context.Background()
	bodies := [][]byte{{}, {0, 0xff, '\r', '\n', 0}, []byte("plain")}
	for i, b := range bodies {
		offset, err := c.Log().Append(ctx, stream, b)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(offset).To(BeEquivalentTo(i + 1))
	}
	records, err := c.Log().Read(ctx, stream, 2, 10, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(records).To(Equal([]platform.LogRecord{{Offset: 2, Data: bodies[1]}, {Offset: 3, Data: bodies[2]}}))
	oldest, next, err := c.Log().Bounds(ctx, stream)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect([]uint64{oldest, next}).To(Equal([]uint64{1, 4}))
}

func TestReadWaitsForNextAppend(t *testing.T) {
	g := NewWithT(t)
	_, c := start(t, platformsim.Options{})
	got := make(chan []platform.LogRecord, 1)
	go func() {
		records, _ := c.Log().Read(context.Background(), stream, 1, 10, time.Minute)
		got <- records
	}()
	_, err := c.Log().Append(context.Background(), stream, []byte("x"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(got, "10s").Should(Receive(HaveLen(1)))
}

func TestLogDownRejectsThenRecovers(t *testing.T) {
	g := NewWithT(t)
	p, c := start(t, platformsim.Options{Log: platformsim.LogSwitches{Down: true}})
	ctx := context.Background()
	_, err := c.Log().Append(ctx, stream, []byte("x"))
	g.Expect(err).To(MatchError(platform.ErrUnavailable))
	_, err = c.Log().Read(ctx, stream, 1, 1, 0)
	g.Expect(err).To(MatchError(platform.ErrUnavailable))
	p.SetLogSwitches(platformsim.LogSwitches{})
	offset, err := c.Log().Append(ctx, stream, []byte("x"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(offset).To(BeEquivalentTo(1))
}

func TestLostResponseUncertainAppendedOnce(t *testing.T) {
	g := NewWithT(t)
	_, c := start(t, platformsim.Options{Log: platformsim.LogSwitches{LoseAnswer: 0.3, Seed: 7}})
	ctx := context.Background()
	const appends = 200
	lost := 0
	for range appends {
		_, err := c.Log().Append(ctx, stream, []byte("x"))
		if err != nil {
			g.Expect(err).To(MatchError(platform.ErrUncertain))
			g.Expect(errors.Is(err, platform.ErrUnavailable)).To(BeFalse())
			lost++
		}
	}
	g.Expect(lost).To(BeNumerically(">", 0))
	_, next, err := c.Log().Bounds(ctx, stream)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(next).To(BeEquivalentTo(appends+1), "each append took effect once")
}

func TestLostRequestUncertainNotAppended(t *testing.T) {
	g := NewWithT(t)
	_, c := start(t, platformsim.Options{Log: platformsim.LogSwitches{LoseRequest: 1}})
	_, err := c.Log().Append(context.Background(), stream, []byte("x"))
	g.Expect(err).To(MatchError(platform.ErrUncertain))
	_, next, err := c.Log().Bounds(context.Background(), stream)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(next).To(BeEquivalentTo(1))
}

func TestSlowAppendUncertainAtDeadline(t *testing.T) {
	g := NewWithT(t)
	_, c := start(t, platformsim.Options{Log: platformsim.LogSwitches{SlowMs: 300}})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, err := c.Log().Append(ctx, stream, []byte("x"))
	g.Expect(err).To(MatchError(platform.ErrUncertain))
	g.Eventually(func() uint64 {
		_, next, _ := c.Log().Bounds(context.Background(), stream)
		return next
	}, "10s").Should(BeEquivalentTo(2), "the append took effect later")
}

func TestReadOfTruncatedRecordsFails(t *testing.T) {
	g := NewWithT(t)
	_, c := start(t, platformsim.Options{Log: platformsim.LogSwitches{Retain: 3}})
	ctx := context.Background()
	for range 10 {
		_, err := c.Log().Append(ctx, stream, []byte("x"))
		g.Expect(err).NotTo(HaveOccurred())
	}
	_, err := c.Log().Read(ctx, stream, 7, 10, 0)
	var truncated *platform.TruncatedError
	g.Expect(errors.As(err, &truncated)).To(BeTrue())
	g.Expect(truncated.Oldest).To(BeEquivalentTo(8))
	records, err := c.Log().Read(ctx, stream, 8, 10, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(records).To(HaveLen(3))
}

func TestAppendRateLimit(t *testing.T) {
	g := NewWithT(t)
	_, c := start(t, platformsim.Options{Log: platformsim.LogSwitches{AppendsPerSecond: 0.001}})
	ctx := context.Background()
	_, err := c.Log().Append(ctx, stream, []byte("x"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.Log().Append(ctx, stream, []byte("x"))
	g.Expect(err).To(MatchError(platform.ErrUnavailable))
}

func TestHostListFrozenAndLagging(t *testing.T) {
	g := NewWithT(t)
	p, c := start(t, platformsim.Options{Hosts: []httpplatform.HostResponse{{ID: "w1", Zone: "a"}, {ID: "w2", Zone: "a"}}})
	list := func() platform.HostList {
		l, err := c.Hosts().List(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
		return l
	}
	first := list()
	p.SetListSwitches(platformsim.ListSwitches{Frozen: true})
	g.Expect(p.MarkLeaving("w1", true)).To(BeTrue())
	g.Expect(list()).To(Equal(first))
	p.SetListSwitches(platformsim.ListSwitches{})
	g.Expect(list().Hosts[0].Leaving).To(BeTrue())
	g.Expect(list().Version).To(BeNumerically(">", first.Version))

	p.SetListSwitches(platformsim.ListSwitches{LagMs: 500})
	p.DropHost("w2")
	g.Expect(list().Hosts).To(HaveLen(2))
	g.Eventually(func() int { return len(list().Hosts) }, "10s", "50ms").Should(Equal(1))
}

type fakeWorker struct{ calls []string }

func (w *fakeWorker) Usage() httpplatform.UsageResponse {
	return httpplatform.UsageResponse{BusySlots: 3, ReportedAt: 1000, BootID: "b1", Healthy: true}
}
func (w *fakeWorker) Checkpoint()      { w.calls = append(w.calls, "checkpoint") }
func (w *fakeWorker) Throttle(float64) { w.calls = append(w.calls, "throttle") }
func (w *fakeWorker) Stop()            { w.calls = append(w.calls, "stop") }
func (w *fakeWorker) Drain()           { w.calls = append(w.calls, "drain") }
func (w *fakeWorker) Reboot()          { w.calls = append(w.calls, "reboot") }

func TestTaskActionsReachWorker(t *testing.T) {
	g := NewWithT(t)
	w := &fakeWorker{}
	_, c := start(t, platformsim.Options{Workers: map[string]platformsim.Worker{"w1": w}})
	ctx := context.Background()
	usage, err := c.Tasks().Usage(ctx, "w1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(usage).To(Equal(platform.HostUsage{
		Host: "w1", BusySlots: 3, ReportedAt: time.UnixMilli(1000), BootID: "b1", Healthy: true,
	}))
	g.Expect(c.Tasks().Checkpoint(ctx, "w1")).To(Succeed())
	g.Expect(c.Tasks().Throttle(ctx, "w1", 0.5)).To(Succeed())
	g.Expect(c.Tasks().Stop(ctx, "w1")).To(Succeed())
	g.Expect(c.Tasks().Drain(ctx, "w1")).To(Succeed())
	g.Expect(c.Tasks().Reboot(ctx, "w1")).To(Succeed())
	g.Expect(w.calls).To(Equal([]string{"checkpoint", "throttle", "stop", "drain", "reboot"}))
	g.Expect(c.Tasks().Stop(ctx, "nobody")).NotTo(Succeed())
}
