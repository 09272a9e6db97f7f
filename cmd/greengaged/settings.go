package main

import (
	"flag"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"greengagedeck/internal/gateway"
	"greengagedeck/internal/replica"
)

// envPrefix is the prefix of the environment variables that set flags.
const envPrefix = "GREENGAGED"

// Settings are the daemon's validated flags.
type Settings struct {
	Host           string
	Zone           string
	CallerAddress  string
	AdminAddress   string
	PeerAddress    string
	PlatformURL    string
	Peers          []string
	PeerToken      string
	Tokens         []gateway.Token
	LogLevel       zerolog.Level
	SnapshotAge    time.Duration
	HostListLag    time.Duration
	PauseThreshold time.Duration
	StopGrace      time.Duration
	StopTimeout    time.Duration
	Version        bool
}

// rawSettings are flags that need more parsing than the flag package does.
type rawSettings struct {
	peers, tokens, logLevel string
}

// parseSettings reads flags and environment variables and reports every invalid
// setting in one error.
func parseSettings(args []string, errOut io.Writer) (Settings, error) {
	var s Settings
	var raw rawSettings
	fs := flag.NewFlagSet("greengaged", flag.ContinueOnError)
	fs.SetOutput(errOut)
	fs.StringVar(&s.Host, "host", "", "name of this entry host on the platform's list")
	fs.StringVar(&s.Zone, "zone", "", "availability zone of this host")
	fs.StringVar(&s.CallerAddress, "caller-address", "127.0.0.1:8080", "IP:port that serves callers")
	fs.StringVar(&s.AdminAddress, "admin-address", "127.0.0.1:8081", "IP:port that serves operators, health checks and metrics")
	fs.StringVar(&s.PeerAddress, "peer-address", "127.0.0.1:8082", "IP:port that serves other daemons; they must reach it")
	fs.StringVar(&s.PlatformURL, "platform-url", "", "root URL of the platform")
	fs.StringVar(&raw.peers, "peers", "", "peer addresses to ask at start, IP:port separated by commas")
	fs.StringVar(&s.PeerToken, "peer-token", "", "secret shared by all daemons; needed unless peer-address is loopback")
	fs.StringVar(&raw.tokens, "admin-tokens", "", "team=secret pairs separated by commas; team admin may do everything; needed unless admin-address is loopback")
	fs.StringVar(&raw.logLevel, "log-level", "info", "debug, info, warn or error")
	fs.DurationVar(&s.SnapshotAge, "snapshot-interval", replica.DefaultMaxSnapshotAge, "longest time between snapshots; well below the log's retention")
	fs.DurationVar(&s.HostListLag, "host-list-lag", 30*time.Second, "longest time that the platform's host list lags")
	fs.DurationVar(&s.PauseThreshold, "pause-threshold", 2*time.Second, "gap in this process's own clock ticks that counts as a pause")
	fs.DurationVar(&s.StopGrace, "stop-grace", time.Second, "time between not ready and no new requests at a planned stop; longer than the balancer's check")
	fs.DurationVar(&s.StopTimeout, "stop-timeout", 15*time.Minute, "longest wait for requests in progress at a planned stop")
	fs.BoolVar(&s.Version, "version", false, "print the release and exit")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix(envPrefix)); err != nil {
		return s, eris.Wrap(err, "settings")
	}
	if s.Version {
		return s, nil
	}
	return s, s.check(raw)
}

// check parses raw into s and reports every invalid setting.
func (s *Settings) check(raw rawSettings) error {
	c := settingsValidator{}
	c.required("host", s.Host)
	c.required("zone", s.Zone)
	c.required("platform-url", s.PlatformURL)
	c.url("platform-url", s.PlatformURL)
	c.address("caller-address", s.CallerAddress)
	c.address("admin-address", s.AdminAddress)
	c.address("peer-address", s.PeerAddress)
	for _, p := range splitList(raw.peers) {
		c.address("peers", p)
		s.Peers = append(s.Peers, p)
	}
	var err error
	s.Tokens, err = gateway.ParseTokens(raw.tokens)
	c.addError("admin-tokens", err)
	s.LogLevel, err = zerolog.ParseLevel(raw.logLevel)
	c.addError("log-level", err)
	if len(s.Tokens) == 0 && !isLoopback(s.AdminAddress) {
		c.add("admin-tokens", "needed because admin-address is not loopback")
	}
	if s.PeerToken == "" && !isLoopback(s.PeerAddress) {
		c.add("peer-token", "needed because peer-address is not loopback")
	}
	c.positive("snapshot-interval", s.SnapshotAge)
	c.positive("host-list-lag", s.HostListLag)
	c.positive("pause-threshold", s.PauseThreshold)
	c.positive("stop-timeout", s.StopTimeout)
	return c.err()
}

func splitList(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}

func isLoopback(addr string) bool {
	ap, err := netip.ParseAddrPort(addr)
	return err == nil && ap.Addr().IsLoopback()
}

// settingsValidator collects the problems of the settings.
type settingsValidator struct{ problems []string }

func (c *settingsValidator) add(name, format string, args ...any) {
	c.problems = append(c.problems, "-"+name+": "+fmt.Sprintf(format, args...))
}

func (c *settingsValidator) addError(name string, err error) {
	if err != nil {
		c.add(name, "%v", err)
	}
}

func (c *settingsValidator) required(name, v string) {
	if v == "" {
		c.add(name, "is missing")
	}
}

func (c *settingsValidator) address(name, v string) {
	if _, err := netip.ParseAddrPort(v); err != nil {
		c.add(name, "%q is not IP:port", v)
	}
}

func (c *settingsValidator) url(name, v string) {
	u, err := url.Parse(v)
	if v != "" && (err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https")) {
		c.add(name, "%q is not an http or https URL", v)
	}
}

func (c *settingsValidator) positive(name string, d time.Duration) {
	if d <= 0 {
		c.add(name, "%v is not positive", d)
	}
}

func (c *settingsValidator) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return eris.New("invalid settings:\n  " + strings.Join(c.problems, "\n  "))
}
