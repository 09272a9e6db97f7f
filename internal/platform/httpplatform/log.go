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
	a, err := l.c.do(ctx, call{
		method: fasthttp.MethodPost,
		path:   streamPath(PathRecords, s),
		body:   data,
	})
	if err == nil {
		err = statusError(a)
	}
	var out AppendAnswer
	if err == nil {
		err = decode(a, &out)
	}
	l.c.metrics.appended(len(data), err)
	if err != nil {
		return 0, eris.Wrapf(err, "append to %s", s)
	}
	return out.Offset, nil
}

// Read implements platform.Log.
func (l logClient) Read(
	ctx context.Context, s platform.Stream, from uint64, limit int, wait time.Duration,
) ([]platform.LogRecord, error) {
	a, err := l.c.do(ctx, call{
		method: fasthttp.MethodGet,
		path:   streamPath(PathRecords, s),
		query: url.Values{
			ParamFrom:   {strconv.FormatUint(from, 10)},
			ParamLimit:  {strconv.Itoa(limit)},
			ParamWaitMs: {strconv.FormatInt(wait.Milliseconds(), 10)},
		},
		extra: wait,
	})
	var records []platform.LogRecord
	if err == nil {
		records, err = decodeRecords(a)
	}
	l.c.metrics.read(len(a.body), err)
	if err != nil {
		return nil, eris.Wrapf(err, "read %s from %d", s, from)
	}
	return records, nil
}

func decodeRecords(a answer) ([]platform.LogRecord, error) {
	if a.status == fasthttp.StatusGone {
		var b BoundsAnswer
		if err := decode(a, &b); err != nil {
			return nil, err
		}
		return nil, &platform.TruncatedError{Oldest: b.Oldest}
	}
	if err := statusError(a); err != nil {
		return nil, err
	}
	var answers []RecordAnswer
	if err := decode(a, &answers); err != nil {
		return nil, err
	}
	records := make([]platform.LogRecord, 0, len(answers))
	for _, r := range answers {
		records = append(records, platform.LogRecord(r))
	}
	return records, nil
}

// Bounds implements platform.Log.
func (l logClient) Bounds(ctx context.Context, s platform.Stream) (oldest, next uint64, err error) {
	var b BoundsAnswer
	if err := l.c.get(ctx, streamPath(PathBounds, s), &b); err != nil {
		return 0, 0, eris.Wrapf(err, "bounds of %s", s)
	}
	return b.Oldest, b.Next, nil
}

// get fetches and decodes a small answer.
func (c *Client) get(ctx context.Context, path string, v any) error {
	a, err := c.do(ctx, call{method: fasthttp.MethodGet, path: path})
	if err == nil {
		err = statusError(a)
	}
	if err == nil {
		err = decode(a, v)
	}
	c.metrics.read(len(a.body), err)
	return err
}
