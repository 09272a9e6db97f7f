package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/duty"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/logstore/logtest"
	"greengagedeck/internal/worker"
)

// fullLease is a lease that never expires.
type fullLease struct{}

// Remaining implements Lease.
func (fullLease) Remaining(duty.Name, duty.Token) time.Duration { return time.Hour }

// rejectingLog rejects every append of a pool's holder with an error.
type rejectingLog struct {
	logstore.Log
	err error
}

// Append implements logstore.Log.
func (l rejectingLog) Append(ctx context.Context, p logstore.Partition, entries []logstore.Entry, c logstore.Condition) (logstore.AppendResult, error) {
	if p == joblog.ProgressPartition("p") {
		return logstore.AppendResult{}, l.err
	}
	return l.Log.Append(ctx, p, entries, c)
}

// acquirePool has a manager acquire a pool, and returns the duties that it gives up.
func acquirePool(ctx context.Context, log logstore.Log, change func(*Runner)) <-chan duty.Token {
	givenUp := make(chan duty.Token, 1)
	m := NewManager(ctx, ManagerOptions{
		NewRunner: func(pool string, a duty.Acquisition, d Duty) *Runner {
			r := NewRunner(RunnerOptions{
				Options: Options{Pool: pool, Token: int64(a.Token)}, Log: log, Clock: clock.System{}, Duty: d, Logger: zerolog.Nop(), Scope: tally.NoopScope,
				Registry: worker.NewRegistry(worker.RegistryOptions{Log: log, Logger: zerolog.Nop(), Scope: tally.NoopScope}),
			})
			change(r)
			return r
		},
		GiveUp: func(_ context.Context, _ duty.Name, t duty.Token) { givenUp <- t },
		Lease:  fullLease{},
		Logger: zerolog.Nop(),
	})
	m.Acquired(duty.Acquisition{Duty: duty.OfPool("p"), Token: 7})
	return givenUp
}

// Guards against a daemon that keeps the duty of a pool which it has stopped scheduling.
func TestDutyOfPoolThatIsNotScheduledIsGivenUp(t *testing.T) {
	for name, test := range map[string]struct {
		rejection error
		change    func(*Runner)
	}{
		"the log answers with another sequence": {&logstore.SequenceError{Expected: 3}, func(*Runner) {}},
		"the log has a newer writer":            {logstore.ErrFenced, func(*Runner) {}},
		"a worker has seen a newer token": {nil, func(r *Runner) {
			r.core.checkFenced(&worker.RejectedError{Reason: worker.ReasonFenced}, "w", r.core.opt.Token)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer cancel()
				var log logstore.Log = logtest.New().Client("holder")
				if test.rejection != nil {
					log = rejectingLog{log, test.rejection}
				}
				givenUp := acquirePool(ctx, log, test.change)
				time.Sleep(minHoldTime - planInterval)
				g.Expect(givenUp).NotTo(Receive(), "too soon")
				time.Sleep(2 * planInterval)
				synctest.Wait()
				g.Expect(givenUp).To(Receive(Equal(duty.Token(7))))
			})
		})
	}
}
