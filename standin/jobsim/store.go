// Package jobsim is a small stand-in for a fleet platform: its store, workers that
// run tasks under leases, and a list of hosts that never move. It speaks to the
// daemon over HTTP as the platform does.
package jobsim

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"greengagedeck/internal/logstore"
	"greengagedeck/internal/logstore/logtest"
)

// keyedPrefix begins the names of topics of which the newest record of each key is
// kept, which are all.
const keyedPrefix = "keyed."

// Store serves a log over HTTP.
type Store struct {
	Log    *logtest.Log
	client logstore.Log
	server *fasthttp.Server
	addr   string
}

// StartStore serves a new log on a free port of loopback.
func StartStore() (*Store, error) {
	s := &Store{Log: logtest.New()}
	s.client = s.Log.Client("daemons")
	s.server = &fasthttp.Server{Handler: s.handle, CloseOnShutdown: true}
	addr, err := listen(s.server)
	s.addr = addr
	return s, err
}

// Address returns where the store and the cloud are reached.
func (s *Store) Address() string { return s.addr }

// Close ends the store.
func (s *Store) Close() error { return s.server.Shutdown() }

func listen(s *fasthttp.Server) (addr string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = s.Serve(ln) }()
	return ln.Addr().String(), nil
}

// Put writes a record as the operator or a worker does, whatever befalls daemons.
func (s *Store) Put(topic, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.Log.Put(logstore.Partition{Topic: topic}, logstore.Entry{Key: key, Value: data})
	return nil
}

// Remove removes a key.
func (s *Store) Remove(topic, key string) {
	s.Log.Put(logstore.Partition{Topic: topic}, logstore.Entry{Key: key})
}

func (s *Store) handle(ctx *fasthttp.RequestCtx) {
	q := ctx.QueryArgs()
	p := logstore.Partition{Topic: strings.TrimPrefix(string(q.Peek("topic")), keyedPrefix), Part: q.GetUintOrZero("part")}
	switch string(ctx.Path()) {
	case "/v1/log-append":
		s.append(ctx, p)
	case "/v1/log-read":
		s.read(ctx, p)
	case "/v1/log-newest":
		page, err := s.client.Newest(ctx, p, string(q.Peek("after")))
		answer(ctx, newestBody(page), err)
	case "/v1/machines":
		answer(ctx, map[string]any{"machines": []string{}, "nextToken": nil}, nil)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Store) append(ctx *fasthttp.RequestCtx, p logstore.Partition) {
	q := ctx.QueryArgs()
	var c logstore.Condition
	if q.Has("at") {
		at := int64(q.GetUintOrZero("at"))
		c.ExpectedEnd = &at
	}
	if q.Has("producer") {
		c.Fence = &logstore.Fence{
			Producer: string(q.Peek("producer")),
			Epoch:    int64(q.GetUintOrZero("epoch")),
			Sequence: int64(q.GetUintOrZero("sequence")),
		}
	}
	a, err := s.client.Append(ctx, p, decodeEntries(ctx.PostBody()), c)
	answer(ctx, map[string]int64{"offset": a.Offset, "end": a.End}, err)
}

// decodeEntries reads the framed records of an append.
func decodeEntries(data []byte) []logstore.Entry {
	var out []logstore.Entry
	for len(data) >= 5 {
		size := int(binary.BigEndian.Uint32(data))
		rec := data[4 : 4+size]
		key := int(rec[0])
		out = append(out, logstore.Entry{Key: string(rec[1 : 1+key]), Value: append([]byte(nil), rec[1+key:]...)})
		data = data[4+size:]
	}
	return out
}

func (s *Store) read(ctx *fasthttp.RequestCtx, p logstore.Partition) {
	q := ctx.QueryArgs()
	wait := time.Duration(q.GetUintOrZero("waitMs")) * time.Millisecond
	b, err := s.client.Read(ctx, p, int64(q.GetUintOrZero("from")), wait)
	if err != nil {
		answer(ctx, nil, err)
		return
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(b.End))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, r := range b.Records {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.Key)+len(r.Value)))
		out = append(out, byte(len(r.Key)))
		out = append(out, r.Key...)
		out = append(out, r.Value...)
	}
	ctx.SetBody(out)
}

// newestBody returns the JSON form of a page. Values are bytes, so in base64.
func newestBody(p logstore.Page) any {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	items := make([]item, 0, len(p.Records))
	for _, r := range p.Records {
		items = append(items, item{r.Key, r.Value, r.Offset})
	}
	return map[string]any{"items": items, "more": p.More, "end": p.End}
}

// answer writes a body, or the status that an error stands for.
func answer(ctx *fasthttp.RequestCtx, body any, err error) {
	var conflict *logstore.ConflictError
	var seq *logstore.SequenceError
	var gap *logstore.TruncatedError
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
		body = map[string]int64{"end": conflict.End}
	case errors.Is(err, logstore.ErrFenced):
		ctx.SetStatusCode(fasthttp.StatusConflict)
		body = map[string]string{"reason": "fenced"}
	case errors.As(err, &seq):
		ctx.SetStatusCode(fasthttp.StatusConflict)
		body = map[string]any{"reason": "seq", "expected": seq.Expected}
	case errors.As(err, &gap):
		ctx.SetStatusCode(fasthttp.StatusGone)
		body = map[string]int64{"first": gap.First}
	default:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	data, err := json.Marshal(body)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(data)
}
