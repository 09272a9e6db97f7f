package httpplatform

import (
	"context"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"greengagedeck/internal/platform"
)

type hostsClient struct {
	c *Client
	// last is the last list that was read whole.
	last atomic.Pointer[platform.HostList]
}

// List implements platform.Hosts. The list is sent whole only when it has
// changed since the last call.
func (h *hostsClient) List(ctx context.Context) (platform.HostList, error) {
	path := PathHosts
	last := h.last.Load()
	if last != nil {
		path += "?" + ParamKnown + "=" + strconv.FormatUint(last.Version, 10)
	}
	var a ListAnswer
	if err := h.c.get(ctx, path, &a); err != nil {
		return platform.HostList{}, eris.Wrap(err, "list hosts")
	}
	if a.Same && last != nil && a.Version == last.Version {
		return *last, nil
	}
	l := a.list()
	h.last.Store(&l)
	return l, nil
}

type tasksClient struct{ c *Client }

func hostPath(pattern, host string) string {
	return strings.Replace(pattern, "{host}", url.PathEscape(host), 1)
}

// Usage implements platform.Tasks.
func (t tasksClient) Usage(ctx context.Context, host string) (platform.HostUsage, error) {
	var a UsageAnswer
	if err := t.c.get(ctx, hostPath(PathUsage, host), &a); err != nil {
		return platform.HostUsage{}, eris.Wrapf(err, "usage of %s", host)
	}
	return a.usage(host), nil
}

// Checkpoint implements platform.Tasks.
func (t tasksClient) Checkpoint(ctx context.Context, host string) error {
	return t.act(ctx, host, ActionCheckpoint, nil)
}

// Throttle implements platform.Tasks.
func (t tasksClient) Throttle(ctx context.Context, host string, share float64) error {
	q := url.Values{ParamShare: {strconv.FormatFloat(share, 'g', -1, 64)}}
	return t.act(ctx, host, ActionThrottle, q)
}

// Stop implements platform.Tasks.
func (t tasksClient) Stop(ctx context.Context, host string) error {
	return t.act(ctx, host, ActionStop, nil)
}

// Drain implements platform.Tasks.
func (t tasksClient) Drain(ctx context.Context, host string) error {
	return t.act(ctx, host, ActionDrain, nil)
}

// Reboot implements platform.Tasks.
func (t tasksClient) Reboot(ctx context.Context, host string) error {
	return t.act(ctx, host, ActionReboot, nil)
}

func (t tasksClient) act(ctx context.Context, host, action string, q url.Values) error {
	path := strings.Replace(hostPath(PathAction, host), "{action}", action, 1)
	a, err := t.c.do(ctx, call{method: fasthttp.MethodPost, path: path, query: q})
	if err == nil {
		err = statusError(a)
	}
	t.c.metrics.acted(action, err)
	return eris.Wrapf(err, "%s %s", action, host)
}
