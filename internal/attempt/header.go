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

// The header fields that a target is sent and may answer with.
const (
	// HeaderID carries the caller's request ID.
	HeaderID = "Request-Id"
	// HeaderPool carries the pool that the request runs for.
	HeaderPool = "Request-Pool"
	// HeaderAttempt carries an ID that is new for every try. A target may
	// repeat it in its answer, which is then matched to the request.
	HeaderAttempt = "Request-Attempt"
	// HeaderVerdict with status 503 is a target's own word that it did not
	// start the request.
	HeaderVerdict = "Request-Verdict"
)

// connectionFields concern one connection only and are not passed on.
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	// A request leaves whole and its length is set anew on each way.
	"Expect", "Content-Length",
	// The fields of this package are set anew for every try.
	HeaderID, HeaderPool, HeaderAttempt, HeaderVerdict,
}

var dropped = func() map[string]bool {
	m := map[string]bool{}
	for _, name := range connectionFields {
		m[name] = true
	}
	return m
}()

// forwardable reports whether a field goes on to the next hop. named are the
// fields that the Connection fields name.
func forwardable(name string, named []string) bool {
	key := textproto.CanonicalMIMEHeaderKey(name)
	return !dropped[key] && !slices.Contains(named, key)
}

// connectionTokens returns the fields that Connection fields name.
func connectionTokens(fields []request.Field) []string {
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

// writeRequest fills req with r for one try.
func writeRequest(req *fasthttp.Request, r *request.Request, attempt, address string) {
	req.Header.SetNoDefaultContentType(true)
	req.Header.SetMethod(r.Method)
	req.Header.SetRequestURI(r.Path)
	named := connectionTokens(r.Header)
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
	req.Header.Set(HeaderAttempt, attempt)
	req.SetBodyRaw(r.Body)
}

// readResponse copies a whole answer out of resp.
func readResponse(resp *fasthttp.Response) *request.Response {
	var named []string
	for _, value := range resp.Header.PeekAll("Connection") {
		named = appendTokens(named, string(value))
	}
	fields := make([]request.Field, 0, resp.Header.Len())
	for name, value := range resp.Header.All() {
		// The library has put names into their canonical form.
		if !dropped[string(name)] && !slices.Contains(named, string(name)) {
			fields = append(fields, request.Field{Name: fieldName(name), Value: string(value)})
		}
	}
	return &request.Response{
		Status: resp.StatusCode(),
		Header: fields,
		Body:   resp.SwapBody(nil),
	}
}

// commonFields are the names that most answers have, so that they need not be
// copied out of each.
var commonFields = func() map[string]string {
	m := map[string]string{}
	for _, name := range []string{
		"Cache-Control", "Content-Encoding", "Content-Type", "Date", "Etag",
		"Last-Modified", "Server", "Set-Cookie", "Vary",
	} {
		m[name] = name
	}
	return m
}()

func fieldName(name []byte) string {
	if s, ok := commonFields[string(name)]; ok {
		return s
	}
	return string(name)
}

// checkRequest refuses what cannot be sent as it is.
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

// checkFields keeps a field from being read as several or as a body.
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

// validPath keeps a path from ending the request line.
func validPath(p string) bool {
	for i := range len(p) {
		if p[i] <= ' ' || p[i] == 0x7f {
			return false
		}
	}
	return strings.HasPrefix(p, "/")
}
