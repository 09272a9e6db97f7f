package attempt

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"greengagedeck/internal/request"
	"greengagedeck/internal/verdict"
)

// memoryConn returns fixed bytes and then io.EOF.
type memoryConn struct {
	net.Conn
	response *bytes.Reader
}

func (c memoryConn) Read(p []byte) (int, error)      { return c.response.Read(p) }
func (c memoryConn) Write(p []byte) (int, error)     { return len(p), nil }
func (c memoryConn) SetDeadline(time.Time) error     { return nil }
func (c memoryConn) SetReadDeadline(time.Time) error { return nil }

const fuzzMaxResponseBytes = 1 << 16

func exchangeWith(data []byte) (*conn, *request.Response, *verdict.Error) {
	cn := newConn(memoryConn{response: bytes.NewReader(data)}, "192.0.2.1:80")
	resp, err := exchange(context.Background(), cn, time.Time{}, newOrderRequest(), "a", fuzzMaxResponseBytes)
	return cn, resp, err
}

// FuzzAnswer sends arbitrary bytes as the response of a target. A response may be
// accepted only if it is complete: the same bytes without the last one must not
// be accepted.
func FuzzAnswer(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x\r\nab\r\n0\r\nT: 1\r\n\r\n",
		"HTTP/1.1 503 Busy\r\nRequest-Verdict: not-run\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest-Attempt: a\r\nConnection: X, close\r\nX: 1\r\nContent-Length: 0\r\n\r\njunk",
		"HTTP/1.0 200 OK\r\n\r\nabc",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		cn, _, err := exchangeWith(data)
		if err != nil && err.Verdict == verdict.NotRun && err.Reason != verdict.ReasonTargetRefused {
			t.Fatalf("verdict is not-run although the target did not reject the request: %v", err)
		}
		rest, _ := io.Copy(io.Discard, cn.br)
		taken := int64(len(data)) - rest
		if err != nil || taken == 0 {
			return
		}
		if _, _, err := exchangeWith(data[:taken-1]); err == nil {
			t.Fatalf("accepted a response of %d bytes and also without its last byte", taken)
		}
	})
}
