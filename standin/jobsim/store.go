// Package jobsim simulates a small fleet platform: its store, workers that run tasks
// under leases, and an empty list of machines. It speaks to the daemon over HTTP as
// the platform does.
package jobsim

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"greengagedeck/internal/logstore"
	"greengagedeck/internal/logstore/logtest"
)

// keyedPrefix starts the names of compacted topics, which keep only the newest record
// of each key. All topics of the store are compacted.
const keyedPrefix = "keyed."

// anyLoopbackAddress is an address with a free port.
const anyLoopbackAddress = "127.0.0.1:0"

// workersTopic holds the list of workers.
const workersTopic = "servers"

// Store serves an in-memory log over HTTP.
type Store struct {
	Log    *logtest.Log
	client logstore.Log
	server *fasthttp.Server
	conns  *crashListener
	idle   IdleTimeouts
}

// IdleTimeouts are the times after which the store and the workers close a connection
// on which no request has arrived. Zero keeps connections open.
type IdleTimeouts struct {
	Store  time.Duration
	Worker time.Duration
}

// storeLimits are what the store takes: far shorter records than a platform's.
var storeLimits = logstore.Limits{RecordBytes: 1500, AppendBytes: 2 << 20}

// StartStore serves a new log on a free loopback port. idle applies to the store and
// to the workers that are started with it.
func StartStore(idle IdleTimeouts) (*Store, error) {
	log := logtest.New()
	log.SetLimits(storeLimits, storeLimits)
	return (&Store{Log: log, idle: idle}).View("daemons")
}

// View serves the same log at another address, for calls of a client that faults can tell
// from others.
func (s *Store) View(client string) (*Store, error) {
	ln, err := net.Listen("tcp", anyLoopbackAddress)
	if err != nil {
		return nil, err
	}
	v := &Store{Log: s.Log, client: s.Log.Client(client), conns: &crashListener{Listener: ln}, idle: s.idle}
	v.server = newServer(v.handle, v.idle.Store)
	go func() { _ = v.server.Serve(v.conns) }()
	return v, nil
}

// newServer returns a server that closes idle connections after a time. It does not
// log the connections that a fault breaks off.
func newServer(handle fasthttp.RequestHandler, idle time.Duration) *fasthttp.Server {
	return &fasthttp.Server{Handler: handle, IdleTimeout: idle, CloseOnShutdown: true, Logger: log.New(io.Discard, "", 0)}
}

// Address returns the IP:port of the store and of the cloud API.
func (s *Store) Address() string { return s.conns.Addr().String() }

// Close stops serving.
func (s *Store) Close() error { return s.server.Shutdown() }

// ResetConnections resets all connections to the store.
func (s *Store) ResetConnections() { s.conns.reset() }

// deepValue is a JSON value that is nested more deeply than decoders follow.
var deepValue = strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)

// PutMalformed leaves malformed entries in the list of workers and among the operators' records, as
// another writer might.
func (s *Store) PutMalformed() {
	for i, value := range []string{
		deepValue, "1e400", "\xff\xfe", `{"service":7}`,
		`{"service":"p","address":"10.0.0.1:70000","zone":"a","version":"1","slots":1,"coldRemainingMs":0,"sequence":1,"state":"ready","born":1,"capacity":{"cpu":1,"taskMemoryMb":1}}`,
		`{"service":"p","address":"127.0.0.1:0","zone":"a","version":"1","slots":1,"coldRemainingMs":0,"sequence":1,"state":"ready","born":9223372036854775807,"capacity":{"cpu":9223372036854775807,"taskMemoryMb":1}}`,
	} {
		e := logstore.Entry{Key: fmt.Sprintf("malformed-%d", i), Value: []byte(value)}
		s.Log.Put(logstore.Partition{Topic: workersTopic}, e)
		e.Key = fmt.Sprintf("wave/%d", i)
		s.Log.Put(logstore.Partition{Topic: "op"}, e)
	}
}

// Put writes a record on behalf of an operator or a worker. Faults that are injected
// into the daemons' requests do not affect it.
func (s *Store) Put(topic, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.Log.Put(logstore.Partition{Topic: topic}, logstore.Entry{Key: key, Value: data})
	return nil
}

// Remove deletes a key by writing a record without a value.
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
		writeResponse(ctx, newestBody(page), err)
	case "/v1/machines":
		// Another writer has left malformed rows among the hosts, of which there are none.
		ctx.SetBodyString(`{"machines":[7,{"machine":[]},{"capacity":{"cpu":1e400}},` + deepValue + `],"nextToken":null}`)
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
	writeResponse(ctx, map[string]int64{"offset": a.Offset, "end": a.End}, err)
}

// decodeEntries decodes the body of an append: for each record a 4-byte size, a
// 1-byte key length, the key and the value.
func decodeEntries(data []byte) []logstore.Entry {
	var out []logstore.Entry
	for len(data) >= 5 {
		size := int(binary.BigEndian.Uint32(data))
		rec := data[4 : 4+size]
		keyLen := int(rec[0])
		out = append(out, logstore.Entry{Key: string(rec[1 : 1+keyLen]), Value: append([]byte(nil), rec[1+keyLen:]...)})
		data = data[4+size:]
	}
	return out
}

func (s *Store) read(ctx *fasthttp.RequestCtx, p logstore.Partition) {
	q := ctx.QueryArgs()
	wait := time.Duration(q.GetUintOrZero("waitMs")) * time.Millisecond
	b, err := s.client.Read(ctx, p, int64(q.GetUintOrZero("from")), wait)
	if err != nil {
		writeResponse(ctx, nil, err)
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

// newestBody returns the JSON body for a page. Values are byte slices, which JSON
// encodes as base64.
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

// writeResponse writes a JSON body, or the status code and body for an error.
func writeResponse(ctx *fasthttp.RequestCtx, body any, err error) {
	var conflict *logstore.ConflictError
	var sequence *logstore.SequenceError
	var truncated *logstore.TruncatedError
	var refused *logstore.RefusedError
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
		body = map[string]int64{"end": conflict.End}
	case errors.Is(err, logstore.ErrFenced):
		ctx.SetStatusCode(fasthttp.StatusConflict)
		body = map[string]string{"reason": "fenced"}
	case errors.As(err, &sequence):
		ctx.SetStatusCode(fasthttp.StatusConflict)
		body = map[string]any{"reason": "seq", "expected": sequence.Expected}
	case errors.As(err, &refused):
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		body = map[string]string{}
	case errors.As(err, &truncated):
		ctx.SetStatusCode(fasthttp.StatusGone)
		body = map[string]int64{"first": truncated.First}
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
