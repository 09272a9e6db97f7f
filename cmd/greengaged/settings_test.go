package main

import (
	"errors"
	"flag"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var validArgs = []string{"-host", "gw-1", "-zone", "a", "-platform-url", "http://127.0.0.1:7000"}

func TestSettingsErrorListsAllProblems(t *testing.T) {
	g := NewWithT(t)
	_, err := parseSettings([]string{
		"-platform-url", "platform", "-caller-address", "localhost:80", "-peer-address", "10.0.0.1:8082",
		"-admin-address", "10.0.0.1:8081", "-peers", "10.0.0.2:8082,nowhere", "-admin-tokens", "team",
		"-log-level", "loud", "-host-list-lag", "-1s",
	}, io.Discard)
	for _, want := range []string{
		"-host: is missing", "-zone: is missing", `-platform-url: "platform"`, `-caller-address: "localhost:80"`,
		`-peers: "nowhere"`, "-admin-tokens: token 1 is not team=secret", "-admin-tokens: needed", "-peer-token: needed",
		"-log-level: ", "-host-list-lag: -1s is not positive",
	} {
		g.Expect(err).To(MatchError(ContainSubstring(want)))
	}
}

func TestSettingsFromFlagsAndEnvironment(t *testing.T) {
	g := NewWithT(t)
	t.Setenv("GREENGAGED_STOP_GRACE", "7s")
	t.Setenv("GREENGAGED_ZONE", "from-environment")
	s, err := parseSettings(validArgs, io.Discard)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.StopGrace).To(Equal(7 * time.Second))
	g.Expect(s.Zone).To(Equal("a"), "a flag takes precedence over the environment")
}

func TestUnknownFlagAndHelp(t *testing.T) {
	g := NewWithT(t)
	_, err := parseSettings([]string{"-colour", "red"}, io.Discard)
	g.Expect(err).To(HaveOccurred())
	_, err = parseSettings([]string{"-help"}, io.Discard)
	g.Expect(errors.Is(err, flag.ErrHelp)).To(BeTrue())
}

func TestInvalidSettingsExitCode(t *testing.T) {
	NewWithT(t).Expect(run([]string{"-zone", "a"})).To(Equal(exitUsage))
}
