package attempt

import (
	"net/textproto"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"

	"greengagedeck/internal/request"
	"greengagedeck/internal/verdict"
)

// Header fields that are sent to a target or that its response may have.
const (
	// HeaderID carries the caller's request ID.
	HeaderID = "Request-Id"
	// HeaderPool carries the name of the request's pool.
	HeaderPool = "Request-Pool"
	// HeaderAttempt carries an ID that is unique to each attempt. A target
	// may return it in its response, which is then matched to the request.
	HeaderAttempt = "Request-Attempt"
	// HeaderVerdict in a response with status 503 states that the target did
	// not start the request.
	HeaderVerdict = "Request-Verdict"
)

// hopByHopFields are not forwarded: they apply to a single connection or are set
// by this package.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	// A request is sent without waiting for 100 Continue, and its length is
	// set again for each hop.
	"Expect", "Content-Length",
	// These fields are set for each attempt.
	HeaderID, HeaderPool, HeaderAttempt, HeaderVerdict,
}

var notForwarded = func() map[string]bool {
	m := map[string]bool{}
	for _, name := range hopByHopFields {
		m[name] = true
	}
	return m
}()

// forwardable reports whether a field is forwarded to the next hop. named holds
// the fields that are listed in Connection fields.
func forwardable(name string, named []string) bool {
	key := textproto.CanonicalMIMEHeaderKey(name)
	return !notForwarded[key] && !slices.Contains(named, key)
}

// connectionOptions returns the field names that are listed in Connection fields.
func connectionOptions(fields []request.Field) []string {
	var named []string
	for _, f := range fields {
		if strings.EqualFold(f.Name, "Connection") {
			named = appendTokens(named, f.Value)
		}
	}
	return named
}

func appendTokens(named []string, value string) []string {
	for token := range strings.SplitSeq(value, ",") {
		named = append(named, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(token)))
	}
	return named
}

// writeRequest fills req with r for one attempt.
func writeRequest(req *fasthttp.Request, r *request.Request, attemptID, address string) {
	req.Header.SetNoDefaultContentType(true)
	req.Header.SetMethod(r.Method)
	req.Header.SetRequestURI(r.Path)
	named := connectionOptions(r.Header)
	for _, f := range r.Header {
		if forwardable(f.Name, named) {
			req.Header.Add(f.Name, f.Value)
		}
	}
	if len(req.Header.Host()) == 0 {
		req.Header.SetHost(address)
	}
	req.Header.Set(HeaderID, r.ID)
	req.Header.Set(HeaderPool, r.Pool)
	req.Header.Set(HeaderAttempt, attemptID)
	req.SetBodyRaw(r.Body)
}

// readResponse copies a complete response out of resp.
func readResponse(resp *fasthttp.Response) *request.Response {
	var named []string
	for _, value := range resp.Header.PeekAll("Connection") {
		named = appendTokens(named, string(value))
	}
	fields := make([]request.Field, 0, resp.Header.Len())
	for name, value := range resp.Header.All() {
		// fasthttp has converted the names to their canonical form.
		if !notForwarded[string(name)] && !slices.Contains(named, string(name)) {
			fields = append(fields, request.Field{Name: internFieldName(name), Value: string(value)})
		}
	}
	return &request.Response{
		Status: resp.StatusCode(),
		Header: fields,
		Body:   resp.SwapBody(nil),
	}
}

// commonFieldNames holds the names of common response fields, so that they need
// not be allocated for each response.
var commonFieldNames = func() map[string]string {
	m := map[string]string{}
	for _, name := range []string{
		"Cache-Control", "Content-Encoding", "Content-Type", "Date", "Etag",
		"Last-Modified", "Server", "Set-Cookie", "Vary",
	} {
		m[name] = name
	}
	return m
}()

func internFieldName(name []byte) string {
	if s, ok := commonFieldNames[string(name)]; ok {
		return s
	}
	return string(name)
}

// checkRequest rejects a request that cannot be sent unchanged.
func checkRequest(r *request.Request) *verdict.Error {
	switch {
	case !validMethod(r.Method):
		return verdict.NewNotRun(verdict.ReasonBadRequest, "method %q", r.Method)
	case !validPath(r.Path):
		return verdict.NewNotRun(verdict.ReasonBadRequest, "path %q", r.Path)
	case len(r.Body) > 0 && (r.Method == fasthttp.MethodGet || r.Method == fasthttp.MethodHead):
		return verdict.NewNotRun(verdict.ReasonBadRequest, "%s with a body", r.Method)
	case !httpguts.ValidHeaderFieldValue(r.ID), !httpguts.ValidHeaderFieldValue(r.Pool):
		return verdict.NewNotRun(verdict.ReasonBadRequest, "request ID %q, pool %q", r.ID, r.Pool)
	}
	return checkFields(r.Header)
}

// checkFields rejects fields that the target could read as several fields or as
// a body.
func checkFields(fields []request.Field) *verdict.Error {
	for _, f := range fields {
		if !httpguts.ValidHeaderFieldName(f.Name) || !httpguts.ValidHeaderFieldValue(f.Value) {
			return verdict.NewNotRun(verdict.ReasonBadRequest, "header field %q", f.Name)
		}
	}
	return nil
}

func validMethod(m string) bool {
	for i := range len(m) {
		if m[i] < 'A' || m[i] > 'Z' {
			return false
		}
	}
	return m != "" && m != fasthttp.MethodConnect
}

// validPath rejects paths with characters that would end the request line early.
func validPath(p string) bool {
	for i := range len(p) {
		if p[i] <= ' ' || p[i] == 0x7f {
			return false
		}
	}
	return strings.HasPrefix(p, "/")
}
