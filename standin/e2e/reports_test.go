package e2e_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/gateway"
	"greengagedeck/internal/verdict"
)

// burnReport holds the fields of a burn report that the test uses.
type burnReport struct {
	Entries []burnRow `json:"entries"`
}

type burnRow struct {
	Windows []struct {
		Requests int `json:"requests"`
	} `json:"windows"`
}

func TestReportsAfterFullRestart(t *testing.T) {
	c := start(t)
	r := c.startLoad()
	c.awaitExecutions(100)
	c.finishLoad(r)
	id := c.sendExpiredRequest()
	before, err := c.fleet.RunCtl(nil, "explain", "-o", "json", "entry", "stock")
	c.Expect(err).NotTo(HaveOccurred())

	c.Expect(c.fleet.Stop()).To(Succeed())
	c.Expect(c.fleet.Start()).To(Succeed())
	c.Expect(c.fleet.WaitReady(waitTimeout)).To(Succeed())

	after, err := c.fleet.RunCtl(nil, "explain", "-o", "json", "entry", "stock")
	c.Expect(err).NotTo(HaveOccurred())
	c.Expect(after).To(MatchJSON(before))

	out, err := c.fleet.RunCtl(nil, "explain", "-o", "json", "request", id)
	c.Expect(err).NotTo(HaveOccurred())
	var e gateway.Explanation
	c.Expect(json.Unmarshal(out, &e)).To(Succeed())
	c.Expect(e.Traces).To(HaveLen(1))
	c.Expect(e.Traces[0].Verdict).NotTo(Equal(verdict.Ran))
	c.Expect(e.Traces[0].Entry).To(Equal("stock"))

	out, err = c.fleet.RunCtl(nil, "report", "burn", "-o", "json")
	c.Expect(err).NotTo(HaveOccurred())
	var rep burnReport
	c.Expect(json.Unmarshal(out, &rep)).To(Succeed())
	total := 0
	for _, row := range rep.Entries {
		total += row.Windows[len(row.Windows)-1].Requests
	}
	c.Expect(total).To(BeNumerically(">=", 100), string(out))
}

// sendExpiredRequest sends a request whose deadline cannot be met and returns its ID.
func (c *cluster) sendExpiredRequest() string {
	req, err := http.NewRequest(http.MethodPost, "http://"+c.fleet.Daemons[0].CallerAddress+"/v1/entries/stock/x", bytes.NewReader(nil))
	c.Expect(err).NotTo(HaveOccurred())
	req.Header.Set(gateway.HeaderDeadline, "1")
	req.Header.Set("X-Service-Ms", "2000")
	resp, err := http.DefaultClient.Do(req)
	c.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	c.Expect(err).NotTo(HaveOccurred())
	return resp.Header.Get(gateway.HeaderRequestID)
}
