package duty

import (
	"bytes"
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
)

// After a task ran twice it could not be told whether the earlier holder might still have
// acted when it learned of its successor.
func TestLostDutyIsLoggedWithWhatWasLeftOfIt(t *testing.T) {
	inBubble(t, func(_ context.Context, g *WithT) {
		n := newCluster(pool)
		log := &bytes.Buffer{}
		e := NewElector(Options{Self: Member{Host: "a"}, Clock: n.clock, Observer: &daemon{}, Logger: zerolog.New(log)})
		e.held[pool] = 6
		e.confirmedAt = n.clock.Now()
		e.table.claims[pool] = Claim{Token: 7, Holder: Member{Host: "b"}}
		e.opt.Observer.(*daemon).Elector = e
		advance(DefaultLease - time.Second)
		e.reconcile(pool, Claim{Token: 6, Holder: e.opt.Self})
		g.Expect(log.String()).To(And(
			ContainSubstring(`"newer_token":7`), ContainSubstring(`"confirmed":1500,"remaining":1000,"message":"duty lost"`)))
	})
}
