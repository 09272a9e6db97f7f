package worker

import (
	"bytes"
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/logstore/logtest"
	"greengagedeck/internal/telemetry"
)

// Guards against a holder that takes the list for one that cannot be read, because no
// worker has written to it.
func TestReadWithoutChangeIsPassedOn(t *testing.T) {
	g := NewWithT(t)
	r := NewRegistry(RegistryOptions{Logger: zerolog.Nop(), Scope: tally.NoopScope})
	var reads []ListChange
	defer r.Watch(func(c ListChange) { reads = append(reads, c) })()
	r.apply(nil, true)
	r.apply(nil, false)
	g.Expect(reads).To(Equal([]ListChange{{Full: true}, {}}))
}

// A list that cannot be read must be in the daemon's log: holders send no starts then.
func TestUnreadableListIsLogged(t *testing.T) {
	g := NewWithT(t)
	shared := logtest.New()
	shared.SetFault(func(logtest.Call) logtest.Fault { return logtest.Fault{Rejected: true} })
	var out bytes.Buffer
	lines := telemetry.NewLogWriter(&out, telemetry.Drops{})
	r := NewRegistry(RegistryOptions{Log: shared.Client("a"), Logger: zerolog.New(lines), Scope: tally.NoopScope})
	read := make(chan struct{}, 1)
	defer r.Watch(func(ListChange) {
		select {
		case read <- struct{}{}:
		default:
		}
	})()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { r.Run(ctx); close(ended) }()
	time.Sleep(2 * registryRetry)
	shared.SetFault(nil)
	g.Eventually(read, time.Second+registryRetry).Should(Receive())
	cancel()
	<-ended
	g.Expect(lines.Close()).To(Succeed())
	g.Expect(bytes.Count(out.Bytes(), []byte("list of workers unreadable"))).To(Equal(1))
	g.Expect(bytes.Count(out.Bytes(), []byte("list of workers readable again"))).To(Equal(1))
}
