package logstore_test

import (
	"bytes"
	"context"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"greengagedeck/internal/logstore"
	"greengagedeck/internal/logstore/logtest"
	"greengagedeck/internal/telemetry"
)

// Calls that the log does not answer must be in the daemon's log: a loop that reads again
// and again was silent about it.
func TestUnansweredCallsAreReported(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	shared := logtest.New()
	log := logstore.Reported(shared.Client("a"), telemetry.NewOutage(zerolog.New(&out), "unreadable", "readable again"))
	p := logstore.Partition{Topic: "t", Part: 1}
	ctx := context.Background()
	read := func(ctx context.Context) { _, _ = log.Read(ctx, p, 0, 0) }

	shared.SetFault(func(logtest.Call) logtest.Fault { return logtest.Fault{Rejected: true} })
	read(ctx)
	read(ctx)
	_, _ = log.Newest(ctx, p, "")
	g.Expect(bytes.Count(out.Bytes(), []byte("\n"))).To(Equal(1))
	g.Expect(out.String()).To(And(ContainSubstring(`"call":"read t/1"`), ContainSubstring(`"message":"unreadable"`)))
	shared.SetFault(nil)
	read(ctx)
	g.Expect(out.String()).To(ContainSubstring(`"failures":3,"message":"readable again"`))

	out.Reset()
	conflict := int64(5)
	_, err := log.Append(ctx, p, []logstore.Entry{{Key: "k"}}, logstore.Condition{ExpectedEnd: &conflict})
	g.Expect(err).To(HaveOccurred())
	g.Expect(out.String()).To(BeEmpty(), "a conflict is an answer")
	shared.SetFault(func(logtest.Call) logtest.Fault { return logtest.Fault{NoResponse: true} })
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	read(cancelled)
	g.Expect(out.String()).To(BeEmpty(), "the caller gave up")
}
