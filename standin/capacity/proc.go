package capacity

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"greengagedeck/standin/fleet"
)

// clockTick is the unit of CPU time in /proc, where USER_HZ is 100.
const clockTick = 10 * time.Millisecond

// usage is the resource usage of a daemon since its start.
type usage struct {
	cpu          time.Duration
	rssKB        int
	controlBytes float64 // bytes to and from other daemons and the platform
}

// readUsage reads a daemon's usage from /proc and from its metrics endpoint.
func readUsage(d *fleet.Daemon) (usage, error) {
	var u usage
	if err := u.readProc(d.PID()); err != nil {
		return u, err
	}
	return u, u.readMetrics("http://" + d.AdminAddress + "/metrics")
}

func (u *usage) readProc(pid int) error {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return err
	}
	// Fields 14 and 15 are user and system time. Field 2, the process name,
	// may contain spaces and parentheses and ends at the last parenthesis.
	rest := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, err1 := strconv.ParseInt(rest[11], 10, 64)
	system, err2 := strconv.ParseInt(rest[12], 10, 64)
	if err1 != nil || err2 != nil {
		return fmt.Errorf("/proc/%d/stat: unexpected format", pid)
	}
	u.cpu = time.Duration(user+system) * clockTick
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return err
	}
	for line := range strings.Lines(string(status)) {
		if v, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			u.rssKB, err = strconv.Atoi(strings.Fields(v)[0])
		}
	}
	return err
}

// controlSeries lists the counters whose sum is a daemon's control traffic.
var controlSeries = []string{
	`greengaged_peer_bytes_in{class="control"}`,
	`greengaged_peer_bytes_out{class="control"}`,
	`greengaged_platform_read_bytes`,
	`greengaged_platform_append_bytes`,
}

func (u *usage) readMetrics(url string) error {
	resp, err := http.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if !ok {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		for _, s := range controlSeries {
			if name == s {
				u.controlBytes += v
			}
		}
	}
	return lines.Err()
}
