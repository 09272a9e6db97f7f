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
	// last is the last complete list that was received.
	last atomic.Pointer[platform.HostList]
}

// List implements platform.Hosts. The platform sends the complete list only if
// it has changed since the last call.
func (h *hostsClient) List(ctx context.Context) (platform.HostList, error) {
	path := PathHosts
	last := h.last.Load()
	if last != nil {
		path += "?" + ParamKnown + "=" + strconv.FormatUint(last.Version, 10)
	}
	var r ListResponse
	if err := h.c.get(ctx, path, &r); err != nil {
		return platform.HostList{}, eris.Wrap(err, "list hosts")
	}
	if r.Unchanged && last != nil && r.Version == last.Version {
		return *last, nil
	}
	l := r.toHostList()
	h.last.Store(&l)
	return l, nil
}

type tasksClient struct{ c *Client }

func hostPath(pattern, host string) string {
	return strings.Replace(pattern, "{host}", url.PathEscape(host), 1)
}

// Usage implements platform.Tasks.
func (t tasksClient) Usage(ctx context.Context, host string) (platform.HostUsage, error) {
	var r UsageResponse
	if err := t.c.get(ctx, hostPath(PathUsage, host), &r); err != nil {
		return platform.HostUsage{}, eris.Wrapf(err, "usage of %s", host)
	}
	return r.toHostUsage(host), nil
}

// Checkpoint implements platform.Tasks.
func (t tasksClient) Checkpoint(ctx context.Context, host string) error {
	return t.postAction(ctx, host, ActionCheckpoint, nil)
}

// Throttle implements platform.Tasks.
func (t tasksClient) Throttle(ctx context.Context, host string, share float64) error {
	q := url.Values{ParamShare: {strconv.FormatFloat(share, 'g', -1, 64)}}
	return t.postAction(ctx, host, ActionThrottle, q)
}

// Stop implements platform.Tasks.
func (t tasksClient) Stop(ctx context.Context, host string) error {
	return t.postAction(ctx, host, ActionStop, nil)
}

// Drain implements platform.Tasks.
func (t tasksClient) Drain(ctx context.Context, host string) error {
	return t.postAction(ctx, host, ActionDrain, nil)
}

// Reboot implements platform.Tasks.
func (t tasksClient) Reboot(ctx context.Context, host string) error {
	return t.postAction(ctx, host, ActionReboot, nil)
}

func (t tasksClient) postAction(ctx context.Context, host, action string, q url.Values) error {
	path := strings.Replace(hostPath(PathAction, host), "{action}", action, 1)
	r, err := t.c.do(ctx, call{method: fasthttp.MethodPost, path: path, query: q})
	if err == nil {
		err = statusError(r)
	}
	t.c.metrics.countAction(action, err)
	return eris.Wrapf(err, "%s %s", action, host)
}
