package targetsim_test

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/standin/targetsim"
)

const longServiceMs = 60_000 // tests end tasks of this length with Target.Stop

func start(t *testing.T) (*targetsim.Target, *targetsim.ExecutionCounter) {
	t.Helper()
	counter := targetsim.NewExecutionCounter()
	target, err := targetsim.Start(targetsim.Options{
		Name: "w1", Address: "127.0.0.1:0", Slots: 2, Connections: 4, Counter: counter,
	})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(target.Close)
	return target, counter
}

// send sends one request on a new connection.
func send(target *targetsim.Target, id, pool string, serviceMs int) (*http.Response, targetsim.ResponseBody, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, "http://"+target.Address()+"/work", bytes.NewBufferString("body of "+id))
	if err != nil {
		return nil, targetsim.ResponseBody{}, err
	}
	req.Header.Set(targetsim.HeaderRequestID, id)
	req.Header.Set(targetsim.HeaderPool, pool)
	req.Header.Set(targetsim.HeaderServiceMs, strconv.Itoa(serviceMs))
	resp, err := client.Do(req)
	if err != nil {
		return nil, targetsim.ResponseBody{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var a targetsim.ResponseBody
	return resp, a, json.NewDecoder(resp.Body).Decode(&a)
}

func TestResponseMatchesRequest(t *testing.T) {
	g := NewWithT(t)
	target, counter := start(t)
	resp, body, err := send(target, "r1", "p", 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	g.Expect(body).To(Equal(targetsim.ResponseBody{
		ID: "r1", Host: "w1", Method: "POST", Path: "/work", Sum: targetsim.Checksum([]byte("body of r1")),
	}))
	g.Expect(counter.Count("r1")).To(Equal(1))
}

// occupySlots fills both slots and returns a function that frees them.
func occupySlots(g *WithT, target *targetsim.Target) func() {
	var wg sync.WaitGroup
	for _, id := range []string{"a", "b"} {
		wg.Go(func() { _, _, _ = send(target, id, "p", longServiceMs) })
	}
	g.Eventually(func() int { return target.Usage().BusySlots }, "10s").Should(Equal(2))
	return func() {
		target.Stop()
		wg.Wait()
	}
}

func TestFullTargetRejectsWithoutRunning(t *testing.T) {
	g := NewWithT(t)
	target, counter := start(t)
	release := occupySlots(g, target)
	resp, _, _ := send(target, "c", "p", 0)
	g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(resp.Header.Get(targetsim.HeaderVerdict)).To(Equal("not-run"))
	g.Expect(counter.Count("c")).To(BeZero())
	release()
	g.Expect(target.Stats().MaxBusy).To(Equal(2))
}

func TestFullTargetQueuesWhenEnabled(t *testing.T) {
	g := NewWithT(t)
	target, counter := start(t)
	target.SetSwitches(targetsim.Switches{Queue: true})
	release := occupySlots(g, target)
	done := make(chan error, 1)
	go func() {
		_, _, err := send(target, "c", "p", 0)
		done <- err
	}()
	release()
	g.Eventually(done, "10s").Should(Receive(BeNil()))
	g.Expect(counter.Count("c")).To(Equal(1))
}

func TestResponseFaults(t *testing.T) {
	tests := map[string]struct {
		switches targetsim.Switches
		ran      int
	}{
		"reset before":     {targetsim.Switches{ResetBefore: 1}, 0},
		"reset after":      {targetsim.Switches{ResetAfter: 1}, 1},
		"truncated answer": {targetsim.Switches{Truncate: 1}, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			target, counter := start(t)
			target.SetSwitches(tt.switches)
			_, _, err := send(target, "r", "p", 0)
			g.Expect(err).To(HaveOccurred())
			g.Expect(counter.Count("r")).To(Equal(tt.ran))
		})
	}
}

func TestPoolOverlapsCounted(t *testing.T) {
	g := NewWithT(t)
	target, _ := start(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _, _ = send(target, "a", "p", longServiceMs)
	}()
	g.Eventually(func() int { return target.Usage().BusySlots }, "10s").Should(Equal(1))
	_, _, err := send(target, "b", "p", 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(target.Stats().PoolOverlaps).To(BeZero())
	_, _, err = send(target, "c", "q", 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(target.Stats().PoolOverlaps).To(Equal(1))
	target.Stop()
	<-done
}

func TestRebootRefusesConnectionsThenUnhealthy(t *testing.T) {
	g := NewWithT(t)
	target, _ := start(t)
	target.SetSwitches(targetsim.Switches{RebootMs: 300, UnhealthyAfterReboot: true})
	before := target.Usage().BootID
	target.Reboot()
	g.Eventually(func() error {
		_, _, err := send(target, "x", "p", 0)
		return err
	}, "10s", "5ms").Should(HaveOccurred())
	g.Eventually(func() string { return target.Usage().BootID }, "10s").ShouldNot(Equal(before))
	g.Expect(target.Usage().Healthy).To(BeFalse())
	resp, _, err := send(target, "y", "p", 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusInternalServerError))
}

func TestConnectionLimit(t *testing.T) {
	g := NewWithT(t)
	target, _ := start(t)
	for range 4 {
		c, err := net.Dial("tcp", target.Address())
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = c.Close() }()
	}
	g.Eventually(func() int { return target.Stats().MaxConnections }, "10s").Should(Equal(4))
	// The reset may arrive before Dial returns, or only at the first read.
	c, err := net.Dial("tcp", target.Address())
	if err == nil {
		defer func() { _ = c.Close() }()
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, err = c.Read(make([]byte, 1))
	}
	g.Expect(err).To(HaveOccurred())
	g.Eventually(func() int { return target.Stats().RefusedConnections }, "10s").Should(Equal(1))
}
