package intake

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/duty"
	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/logstore/logtest"
	"greengagedeck/internal/peer"
	"greengagedeck/internal/policy"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/verdict"
)

const id job.ID = "00000000000000aa"

var (
	entry = policy.Entry{Name: "e", Pool: "p", MaxAttempts: 1}
	spec  = job.Spec{ID: id, Steps: []job.Step{{Count: 1}}}
)

// holders names another daemon as the holder of each pool, if known is set.
type holders struct{ known bool }

func (h holders) Holder(n duty.Name) (duty.Claim, bool) {
	return duty.Claim{Duty: n, Holder: duty.Member{Host: "other", Incarnation: 1}, Token: 3}, h.known
}

// nothing is a daemon that holds no pool.
type nothing struct{}

func (nothing) Runner(string) (*scheduler.Runner, bool) { return nil, false }

// holder answers calls as the other daemon.
type holder func(resp any) error

func (h holder) Call(_ context.Context, _ string, _ peer.Method, _, resp any) error { return h(resp) }

func (h holder) Send(context.Context, string, peer.Method, any) error { return nil }

func ordered(o Outcome) holder {
	return func(resp any) error {
		*resp.(*OrderAnswer) = OrderAnswer{Outcome: o}
		return nil
	}
}

func service(log *logtest.Log, known bool, h holder, age time.Duration) *Service {
	client := log.Client("self")
	return NewService(Options{
		Self:      duty.Member{Host: "self", Incarnation: 1},
		Policy:    &policy.InForce{},
		Committer: joblog.NewCommitter(client, tally.NoopScope),
		Log:       client,
		Holders:   holders{known},
		Local:     nothing{},
		Caller:    h,
		LogAge:    func() time.Duration { return age },
		Clock:     clock.Boot{},
		Logger:    zerolog.Nop(),
		Scope:     tally.NoopScope,
	})
}

func lost(any) error    { return verdict.NewMayHaveRun(verdict.ReasonPeerLost, "the link broke") }
func notSent(any) error { return peer.ErrNotSent }

// A caller is told that its job will not run only if that is certain, and that
// it is accepted only if it is stored.
func TestOutcomeOfASubmission(t *testing.T) {
	for name, c := range map[string]struct {
		known   bool
		holder  holder
		logDown bool
		age     time.Duration
		want    verdict.Verdict
		logged  bool
	}{
		"stored by the holder":                {true, ordered(OutcomeStored), true, 0, 0, false},
		"refused by the holder":               {true, ordered(OutcomeRefused), false, 0, 0, true},
		"refused by the holder, log down":     {true, ordered(OutcomeRefused), true, 0, verdict.NotRun, false},
		"refused by the holder, log silent":   {true, ordered(OutcomeRefused), false, freshLog, verdict.NotRun, false},
		"holder unsure":                       {true, ordered(OutcomeUnsure), false, 0, 0, true},
		"holder unsure, log down":             {true, ordered(OutcomeUnsure), true, 0, verdict.MayHaveRun, false},
		"no holder":                           {false, nil, false, 0, 0, true},
		"no holder, log down":                 {false, nil, true, 0, verdict.NotRun, false},
		"not held there":                      {true, ordered(OutcomeNotHeld), false, 0, 0, true},
		"not held there, log down":            {true, ordered(OutcomeNotHeld), true, 0, verdict.NotRun, false},
		"answer of the holder lost":           {true, lost, false, 0, 0, true},
		"answer of the holder lost, log down": {true, lost, true, 0, verdict.MayHaveRun, false},
		"holder not reached":                  {true, notSent, false, 0, 0, true},
		"holder not reached, log down":        {true, notSent, true, 0, verdict.NotRun, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			log := logtest.New()
			log.SetFault(func(logtest.Call) logtest.Fault { return logtest.Fault{Refused: c.logDown} })
			s := service(log, c.known, c.holder, c.age)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			for what, err := range map[string]error{
				"submit": s.Submit(ctx, entry, 1, spec),
				"cancel": s.Cancel(ctx, entry, id),
			} {
				if c.want == 0 {
					g.Expect(err).NotTo(HaveOccurred(), what)
				} else {
					g.Expect(verdict.Of(err)).To(Equal(c.want), what)
				}
			}
			log.SetFault(nil)
			b, err := log.Client("reader").Read(ctx, joblog.Intake(entry.Pool), 0, 0)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(len(b.Records) > 0).To(Equal(c.logged))
		})
	}
}

func answered(a StateAnswer) holder {
	return func(resp any) error {
		*resp.(*StateAnswer) = a
		return nil
	}
}

func TestStateOfAJob(t *testing.T) {
	g := NewWithT(t)
	log := logtest.New()
	phase, err := service(log, true, answered(StateAnswer{Held: true, Known: true, Phase: job.Running}), 0).State(t.Context(), entry, id)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(phase).To(Equal(job.Running))

	// A holder that has not read the newest submissions cannot tell that there
	// is no such job, and neither can the log.
	_, err = service(log, true, answered(StateAnswer{Held: true, Lag: maxLag}), 0).State(t.Context(), entry, id)
	g.Expect(err).NotTo(MatchError(ErrUnknownJob))
	g.Expect(verdict.Of(err)).To(Equal(verdict.NotRun))

	s := service(log, true, answered(StateAnswer{Held: true}), 0)
	s.opt.Policy.Set(policy.New(1, nil, nil, policy.Limits{}))
	_, err = s.State(t.Context(), entry, id)
	g.Expect(err).To(MatchError(ErrUnknownJob))

	g.Expect(service(log, true, ordered(OutcomeStored), 0).Submit(t.Context(), entry, 1, spec)).To(Succeed())
	g.Expect(service(log, false, nil, 0).Submit(t.Context(), entry, 1, spec)).To(Succeed())
	phase, err = service(log, false, nil, 0).State(t.Context(), entry, id)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(phase).To(Equal(job.Queued))
}
