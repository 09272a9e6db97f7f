package attempt

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"greengagedeck/internal/request"
	"greengagedeck/internal/verdict"
)

// maxInterimAnswers bounds the 1xx answers before the final one.
const maxInterimAnswers = 8

// maxDetailBytes bounds the part of a malformed answer that an error quotes.
const maxDetailBytes = 200

// aLongTimeAgo is a deadline that fails all reading and writing at once.
var aLongTimeAgo = time.Unix(1, 0)

// exchange sends r over cn and reads the whole answer. It leaves cn.reusable
// set only when nothing of this exchange can reach the next one. The end of
// ctx and the deadline interrupt both writing and reading.
func exchange(ctx context.Context, cn *conn, deadline time.Time, r *request.Request, attempt string, maxBytes int) (*request.Response, *verdict.Error) {
	cn.reusable = false
	cn.sent = 0
	if err := cn.SetDeadline(deadline); err != nil {
		return nil, verdict.NewNotRun(verdict.ReasonConnectionLost, "%v", err)
	}
	stop := context.AfterFunc(ctx, cn.interrupt)
	resp, err := sendAndReceive(ctx, cn, r, attempt, maxBytes)
	// Once the function above has started it may still touch the
	// connection, so the connection must not carry another request.
	if !stop() {
		cn.reusable = false
	}
	return resp, err
}

func sendAndReceive(ctx context.Context, cn *conn, r *request.Request, attempt string, maxBytes int) (*request.Response, *verdict.Error) {
	if err := contextError(ctx, verdict.NotRun); err != nil {
		return nil, err
	}
	if err := send(cn, r, attempt); err != nil {
		// The kernel took no byte, so nothing can have reached the target.
		if cn.sent == 0 {
			return nil, ioError(ctx, err, verdict.NotRun)
		}
		return nil, ioError(ctx, err, verdict.MayHaveRun)
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := receive(cn, resp, r.Method == fasthttp.MethodHead, maxBytes); err != nil {
		return nil, ioError(ctx, err, verdict.MayHaveRun)
	}
	return accept(cn, resp, attempt)
}

// send writes the request. cn.sent tells afterwards whether any byte left.
func send(cn *conn, r *request.Request, attempt string) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	writeRequest(req, r, attempt, cn.address)
	cn.bw.Reset(cn)
	if err := req.Write(cn.bw); err != nil {
		return err
	}
	return cn.bw.Flush()
}

// errNoLength marks an answer that ends with its connection: a target that
// fails half-way through looks the same, so it never counts as whole.
var errNoLength = errors.New("answer without a length")

// errInterim marks an answer that never becomes final.
var errInterim = errors.New("no final answer")

// receive reads one whole answer. An answer that began and then ends early
// fails with io.ErrUnexpectedEOF, one that never began with io.EOF.
func receive(cn *conn, resp *fasthttp.Response, head bool, maxBytes int) error {
	if _, err := cn.br.Peek(1); err != nil {
		return err
	}
	err := receiveWhole(cn, resp, head, maxBytes)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func receiveWhole(cn *conn, resp *fasthttp.Response, head bool, maxBytes int) error {
	resp.SkipBody = head
	resp.Header.SetNoDefaultContentType(true)
	if err := receiveHeader(cn, resp); err != nil {
		return err
	}
	if head || bodiless(resp.StatusCode()) {
		return nil
	}
	length := resp.Header.ContentLength()
	if length == lengthUnknown {
		return errNoLength
	}
	if err := resp.ReadBody(cn.br, maxBytes); err != nil {
		return err
	}
	if length == lengthChunked {
		return resp.Header.ReadTrailer(cn.br)
	}
	return nil
}

// The values of ResponseHeader.ContentLength that are not lengths.
const (
	lengthChunked = -1
	lengthUnknown = -2
)

func receiveHeader(cn *conn, resp *fasthttp.Response) error {
	for range maxInterimAnswers {
		if err := resp.Header.Read(cn.br); err != nil {
			return err
		}
		switch status := resp.StatusCode(); {
		case status == fasthttp.StatusSwitchingProtocols:
			return errInterim
		case status >= fasthttp.StatusOK:
			return nil
		}
	}
	return errInterim
}

func bodiless(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// accept turns a whole answer into a response, if it answers this attempt.
func accept(cn *conn, resp *fasthttp.Response, attempt string) (*request.Response, *verdict.Error) {
	echo := resp.Header.Peek(HeaderAttempt)
	if len(echo) == 0 && cn.echoes || len(echo) > 0 && string(echo) != attempt {
		return nil, verdict.NewMayHaveRun(verdict.ReasonMalformed, "answer to attempt %q, not %q", echo, attempt)
	}
	cn.echoes = len(echo) > 0
	// Bytes after the answer answer nothing that was asked.
	cn.reusable = !resp.ConnectionClose() && cn.br.Buffered() == 0
	if refused(resp) {
		return nil, verdict.NewNotRun(verdict.ReasonTargetRefused, "target refused with status %d", resp.StatusCode())
	}
	return readResponse(resp), nil
}

// refused reports whether the target says itself that it did not start the
// request.
func refused(resp *fasthttp.Response) bool {
	return resp.StatusCode() == fasthttp.StatusServiceUnavailable &&
		string(resp.Header.Peek(HeaderVerdict)) == verdict.NotRun.String()
}

// ioError gives a failed read or write its reason.
func ioError(ctx context.Context, err error, v verdict.Verdict) *verdict.Error {
	if cerr := contextError(ctx, v); cerr != nil {
		return cerr
	}
	detail := err.Error()
	if len(detail) > maxDetailBytes {
		detail = detail[:maxDetailBytes]
	}
	return &verdict.Error{Verdict: v, Reason: ioReason(err, v), Detail: detail}
}

func ioReason(err error, v verdict.Verdict) verdict.Reason {
	var (
		nerr  net.Error
		chunk fasthttp.ErrBrokenChunk
		oerr  *net.OpError
	)
	switch {
	case errors.As(err, &nerr) && nerr.Timeout(), errors.Is(err, fasthttp.ErrTimeout):
		return contextReason(context.DeadlineExceeded, v)
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, errNoLength), errors.As(err, &chunk):
		return verdict.ReasonTruncated
	case errors.Is(err, io.EOF), errors.As(err, &oerr):
		return verdict.ReasonConnectionLost
	default:
		return verdict.ReasonMalformed
	}
}
