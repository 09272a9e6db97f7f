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

// maxInterimResponses limits the number of 1xx responses before the final one.
const maxInterimResponses = 8

// maxDetailBytes limits how much of a malformed response an error quotes.
const maxDetailBytes = 200

// aLongTimeAgo is a deadline that makes pending reads and writes fail at once.
var aLongTimeAgo = time.Unix(1, 0)

// exchange sends r over cn and reads the complete response. It leaves
// cn.reusable set only if nothing of this exchange can affect the next one.
// Cancelling ctx and reaching the deadline interrupt both writing and reading.
func exchange(ctx context.Context, cn *conn, deadline time.Time, r *request.Request, attemptID string, maxBytes int) (*request.Response, *verdict.Error) {
	cn.reusable = false
	cn.bytesSent = 0
	if err := cn.SetDeadline(deadline); err != nil {
		return nil, verdict.NewNotRun(verdict.ReasonConnectionLost, "%v", err)
	}
	stop := context.AfterFunc(ctx, cn.interrupt)
	resp, err := sendAndReceive(ctx, cn, r, attemptID, maxBytes)
	// If interrupt has started, it may set the deadline of the connection at
	// any time, so the connection must not carry another request.
	if !stop() {
		cn.reusable = false
	}
	return resp, err
}

func sendAndReceive(ctx context.Context, cn *conn, r *request.Request, attemptID string, maxBytes int) (*request.Response, *verdict.Error) {
	if err := contextError(ctx, verdict.NotRun); err != nil {
		return nil, err
	}
	if err := send(cn, r, attemptID); err != nil {
		// The kernel accepted no byte, so nothing can have reached the target.
		if cn.bytesSent == 0 {
			return nil, ioError(ctx, err, verdict.NotRun)
		}
		return nil, ioError(ctx, err, verdict.MayHaveRun)
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := receive(cn, resp, r.Method == fasthttp.MethodHead, maxBytes); err != nil {
		return nil, ioError(ctx, err, verdict.MayHaveRun)
	}
	return acceptResponse(cn, resp, attemptID)
}

// send writes the request. Afterwards cn.bytesSent tells whether any byte of it
// was sent.
func send(cn *conn, r *request.Request, attemptID string) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	writeRequest(req, r, attemptID, cn.address)
	cn.bw.Reset(cn)
	if err := req.Write(cn.bw); err != nil {
		return err
	}
	return cn.bw.Flush()
}

// errNoLength is the error for a response that ends when the connection is
// closed. A target that fails while it is sending looks the same, so such a
// response never counts as complete.
var errNoLength = errors.New("answer without a length")

// errNoFinalResponse is the error for too many interim responses or a switch
// of protocols.
var errNoFinalResponse = errors.New("no final answer")

// receive reads one complete response. If the connection ends within the
// response, the error is io.ErrUnexpectedEOF; if it ends before the first byte,
// io.EOF.
func receive(cn *conn, resp *fasthttp.Response, head bool, maxBytes int) error {
	if _, err := cn.br.Peek(1); err != nil {
		return err
	}
	err := receiveFullResponse(cn, resp, head, maxBytes)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func receiveFullResponse(cn *conn, resp *fasthttp.Response, head bool, maxBytes int) error {
	resp.SkipBody = head
	resp.Header.SetNoDefaultContentType(true)
	if err := receiveHeader(cn, resp); err != nil {
		return err
	}
	if head || hasNoBody(resp.StatusCode()) {
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

// Special values of fasthttp's ResponseHeader.ContentLength.
const (
	lengthChunked = -1
	lengthUnknown = -2
)

func receiveHeader(cn *conn, resp *fasthttp.Response) error {
	for range maxInterimResponses {
		if err := resp.Header.Read(cn.br); err != nil {
			return err
		}
		switch status := resp.StatusCode(); {
		case status == fasthttp.StatusSwitchingProtocols:
			return errNoFinalResponse
		case status >= fasthttp.StatusOK:
			return nil
		}
	}
	return errNoFinalResponse
}

func hasNoBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// acceptResponse converts a complete response, if it belongs to this attempt and
// the target did not reject the request.
func acceptResponse(cn *conn, resp *fasthttp.Response, attemptID string) (*request.Response, *verdict.Error) {
	echo := resp.Header.Peek(HeaderAttempt)
	if len(echo) == 0 && cn.echoesAttempt || len(echo) > 0 && string(echo) != attemptID {
		return nil, verdict.NewMayHaveRun(verdict.ReasonMalformed, "answer to attempt %q, not %q", echo, attemptID)
	}
	cn.echoesAttempt = len(echo) > 0
	// Bytes after the response belong to no request.
	cn.reusable = !resp.ConnectionClose() && cn.br.Buffered() == 0
	if rejectedByTarget(resp) {
		return nil, verdict.NewNotRun(verdict.ReasonTargetRefused, "target refused with status %d", resp.StatusCode())
	}
	return readResponse(resp), nil
}

// rejectedByTarget reports whether the target states that it did not start the
// request.
func rejectedByTarget(resp *fasthttp.Response) bool {
	return resp.StatusCode() == fasthttp.StatusServiceUnavailable &&
		string(resp.Header.Peek(HeaderVerdict)) == verdict.NotRun.String()
}

// ioError converts a failed read or write to an error with verdict v.
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
