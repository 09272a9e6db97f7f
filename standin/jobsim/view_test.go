package jobsim

import (
	"encoding/json"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"greengagedeck/internal/fleetview"
)

// adminAnswer reads the answer of a daemon's administration port into v, and returns its
// status or 0.
func (s *soak) adminAnswer(d *daemon, path string, v any) int {
	status, body, err := s.client.GetTimeout(nil, "http://"+d.adminAddress+path, time.Second)
	if err != nil || json.Unmarshal(body, v) != nil {
		return 0
	}
	return status
}

// Guards against a daemon that cannot tell of the pool of another one, and against one that
// keeps an operator waiting, or names nobody, when that one does not answer.
func TestEveryDaemonExplainsJobs(t *testing.T) {
	const id = "00000000000000aa"
	s := newSoak(t, 2, IdleTimeouts{})
	s.submitSteps(id)
	var j fleetview.JobView
	var list fleetview.CustomerList
	for _, d := range s.daemons {
		s.g.Eventually(func() int { return s.adminAnswer(d, "/v1/jobs/"+id, &j) }, firstAcceptance, 50*time.Millisecond).Should(Equal(fasthttp.StatusOK))
		s.g.Expect(j.Pool).To(Equal("p"))
		s.g.Expect(j.Steps).To(HaveLen(2))
		s.g.Eventually(func() []fleetview.Unanswered {
			s.g.Expect(s.adminAnswer(d, "/v1/customers", &list)).To(Equal(fasthttp.StatusOK))
			return list.Unanswered
		}, firstAcceptance, 50*time.Millisecond).Should(BeEmpty())
	}

	holder, other := s.daemons[0], s.daemons[1]
	if strings.HasPrefix(j.Daemon, other.name+"#") {
		holder, other = other, holder
	}
	holder.signal(syscall.SIGSTOP)
	s.g.Expect(s.adminAnswer(other, "/v1/customers", &list)).To(Equal(fasthttp.StatusOK))
	s.g.Expect(list.Unanswered).To(ContainElement(fleetview.Unanswered{Pool: "p", Daemon: j.Daemon, Reason: "no answer in 400ms"}))
}
