package httpplatform

import (
	"context"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"greengagedeck/internal/platform"
)

type logClient struct{ c *Client }

func streamPath(pattern string, s platform.Stream) string {
	return strings.Replace(pattern, "{stream}", url.PathEscape(string(s)), 1)
}

// Append implements platform.Log.
func (l logClient) Append(ctx context.Context, s platform.Stream, data []byte) (uint64, error) {
	r, err := l.c.do(ctx, call{
		method: fasthttp.MethodPost,
		path:   streamPath(PathRecords, s),
		body:   data,
	})
	if err == nil {
		err = statusError(r)
	}
	var appended AppendResponse
	if err == nil {
		err = decode(r, &appended)
	}
	l.c.metrics.countAppend(len(data), err)
	if err != nil {
		return 0, eris.Wrapf(err, "append to %s", s)
	}
	return appended.Offset, nil
}

// Read implements platform.Log.
func (l logClient) Read(
	ctx context.Context, s platform.Stream, from uint64, limit int, wait time.Duration,
) ([]platform.LogRecord, error) {
	r, err := l.c.do(ctx, call{
		method: fasthttp.MethodGet,
		path:   streamPath(PathRecords, s),
		query: url.Values{
			ParamFrom:   {strconv.FormatUint(from, 10)},
			ParamLimit:  {strconv.Itoa(limit)},
			ParamWaitMs: {strconv.FormatInt(wait.Milliseconds(), 10)},
		},
		extraTimeout: wait,
	})
	var records []platform.LogRecord
	if err == nil {
		records, err = decodeRecords(r)
	}
	l.c.metrics.countRead(len(r.body), err)
	if err != nil {
		return nil, eris.Wrapf(err, "read %s from %d", s, from)
	}
	return records, nil
}

func decodeRecords(r response) ([]platform.LogRecord, error) {
	if r.status == fasthttp.StatusGone {
		var b BoundsResponse
		if err := decode(r, &b); err != nil {
			return nil, err
		}
		return nil, &platform.TruncatedError{Oldest: b.Oldest}
	}
	if err := statusError(r); err != nil {
		return nil, err
	}
	var decoded []RecordResponse
	if err := decode(r, &decoded); err != nil {
		return nil, err
	}
	records := make([]platform.LogRecord, 0, len(decoded))
	for _, rec := range decoded {
		records = append(records, platform.LogRecord(rec))
	}
	return records, nil
}

// Bounds implements platform.Log.
func (l logClient) Bounds(ctx context.Context, s platform.Stream) (oldest, next uint64, err error) {
	var b BoundsResponse
	if err := l.c.get(ctx, streamPath(PathBounds, s), &b); err != nil {
		return 0, 0, eris.Wrapf(err, "bounds of %s", s)
	}
	return b.Oldest, b.Next, nil
}

// get sends a GET request and decodes the response into v.
func (c *Client) get(ctx context.Context, path string, v any) error {
	r, err := c.do(ctx, call{method: fasthttp.MethodGet, path: path})
	if err == nil {
		err = statusError(r)
	}
	if err == nil {
		err = decode(r, v)
	}
	c.metrics.countRead(len(r.body), err)
	return err
}
