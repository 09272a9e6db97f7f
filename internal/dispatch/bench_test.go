package dispatch_test

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"greengagedeck/internal/dispatch"
	"greengagedeck/internal/request"
)

// BenchmarkScheduler measures one job through the queue and a slot while other
// jobs wait.
func BenchmarkScheduler(b *testing.B) {
	for _, c := range []struct{ hosts, waiting, entries int }{
		{3, 0, 4}, {3, 400, 4}, {3, 400, 250}, {50, 400, 4}, {1000, 400, 4},
	} {
		b.Run(fmt.Sprintf("hosts=%d/waiting=%d/entries=%d", c.hosts, c.waiting, c.entries), func(b *testing.B) {
			s := dispatch.NewScheduler(dispatch.SchedulerConfig{LongShare: 0.5})
			s.SetTargets(newHosts(c.hosts, 8))
			names := make([]string, c.entries)
			for i := range names {
				names[i] = "entry-" + strconv.Itoa(i)
				buildHistory(s, names[i], names[i], request.ClassShort, time.Microsecond)
			}
			running := fillSlots(s, names, c.hosts*8+c.waiting)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				name := names[i%len(names)]
				j := &dispatch.Job{Entry: name, Team: name, Class: request.ClassShort, Deadline: epoch.Add(time.Hour)}
				s.Finish(epoch, running[i%len(running)], true)
				_ = s.Enqueue(epoch, j)
				st, ok := s.Next(epoch)
				if !ok {
					b.Fatal("no job started")
				}
				running[i%len(running)] = st.Job
			}
		})
	}
}

// fillSlots starts jobs on all slots and leaves the rest of n jobs waiting.
func fillSlots(s *dispatch.Scheduler, names []string, n int) []*dispatch.Job {
	for i := range n {
		name := names[i%len(names)]
		_ = s.Enqueue(epoch, &dispatch.Job{Entry: name, Team: name, Class: request.ClassShort, Deadline: epoch.Add(time.Hour)})
	}
	var running []*dispatch.Job
	for _, st := range decideAll(s, epoch) {
		running = append(running, st.Job)
	}
	return running
}

// BenchmarkServe measures one request through the dispatcher, with targets that
// answer at once, on a single daemon and with a zone peer.
func BenchmarkServe(b *testing.B) {
	for _, daemons := range [][]string{{"d1"}, {"d1", "d2"}} {
		b.Run(fmt.Sprintf("daemons=%d", len(daemons)), func(b *testing.B) {
			f := newCluster()
			f.addZone("z1", 3, 8*64, daemons...)
			f.serviceTime = 0
			stop := f.start(b, 0)
			defer stop()
			serve := func(id string) error {
				r := newRequest(id, "reserve", true)
				_, err := f.daemons["d1"].Serve(context.Background(), r)
				return err
			}
			for range 16 {
				if err := serve("warm"); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if err := serve("r"); err != nil {
						b.Error(err)
						return
					}
				}
			})
		})
	}
}

// BenchmarkReport measures one decision on whether to send a report.
func BenchmarkReport(b *testing.B) {
	l := dispatch.NewPeerBalancer(rate.NewLimiter(4000, 2000))
	l.SetZonePeers([]string{"d2", "d3", "d4"})
	now := epoch
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		l.ReportDue(now, dispatch.PoolState{Free: i % 2})
	}
}
