package fleetview

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/job"
)

// Route adds the operators' requests to the router of the administration port.
func (s *Service) Route(r *router.Router) {
	r.GET("/v1/customers", s.serveCustomers)
	// A name may have slashes.
	r.GET("/v1/customers/{name:*}", s.serveCustomer)
	r.GET("/v1/jobs/{id:*}", s.serveJob)
}

func (s *Service) serveCustomers(ctx *fasthttp.RequestCtx) {
	after := string(ctx.QueryArgs().Peek("after"))
	if problem := nameProblem(after); after != "" && problem != "" {
		writeError(ctx, fasthttp.StatusBadRequest, problem, nil)
		return
	}
	list, err := s.Customers(context.Background(), customer.ID(after))
	if err != nil {
		writeError(ctx, statusOf(err), err.Error(), nil)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, list)
}

func (s *Service) serveCustomer(ctx *fasthttp.RequestCtx) {
	name := pathValue(ctx, "name")
	if problem := nameProblem(name); problem != "" {
		writeError(ctx, fasthttp.StatusBadRequest, problem, nil)
		return
	}
	id := customer.ID(name)
	if name == NoCustomer {
		id = ""
	}
	view, err := s.Customer(context.Background(), id)
	unknown := fmt.Sprintf("the configuration has no customer %q", name)
	switch {
	case errors.Is(err, errUnknown):
		writeError(ctx, statusOf(err), unknown+", and no pool has work of it", nil)
	case errors.Is(err, errUndecided):
		writeError(ctx, statusOf(err), unknown+", and no answer came for "+poolsOf(view.Unanswered), view.Unanswered)
	case err != nil:
		writeError(ctx, statusOf(err), err.Error(), nil)
	default:
		writeJSON(ctx, fasthttp.StatusOK, view)
	}
}

func (s *Service) serveJob(ctx *fasthttp.RequestCtx) {
	id := pathValue(ctx, "id")
	if !job.ID(id).Valid() {
		writeError(ctx, fasthttp.StatusBadRequest, fmt.Sprintf("%q is no job ID, which is 16 digits of 0-9 and a-f", id), nil)
		return
	}
	view, err := s.Job(context.Background(), job.ID(id))
	switch {
	case errors.Is(err, errUnknown):
		writeError(ctx, statusOf(err), "no pool knows job "+id, nil)
	case errors.Is(err, errUndecided):
		writeError(ctx, statusOf(err), "no pool that has answered knows job "+id+", and no answer came for "+poolsOf(view.Unanswered), view.Unanswered)
	case err != nil:
		writeError(ctx, statusOf(err), err.Error(), nil)
	default:
		writeJSON(ctx, fasthttp.StatusOK, view)
	}
}

// pathValue returns a part of the path, which the router leaves escaped. What cannot be
// unescaped stays as it is.
func pathValue(ctx *fasthttp.RequestCtx, key string) string {
	escaped, _ := ctx.UserValue(key).(string)
	if v, err := url.PathUnescape(escaped); err == nil {
		return v
	}
	return escaped
}

// nameProblem returns why no customer can have a name, or "".
func nameProblem(name string) string {
	switch {
	case name == "":
		return "a customer's name is needed"
	case !utf8.ValidString(name):
		return "the customer's name is not valid UTF-8"
	case strings.ContainsFunc(name, unicode.IsControl):
		return "the customer's name has control characters"
	default:
		return ""
	}
}

// maxNamedPools bounds the pools that an error message names.
const maxNamedPools = 5

// poolsOf names pools.
func poolsOf(unanswered []Unanswered) string {
	names := make([]string, 0, maxNamedPools)
	for _, u := range unanswered[:min(len(unanswered), maxNamedPools)] {
		names = append(names, u.Pool)
	}
	out := "pool " + strings.Join(names, ", ")
	if more := len(unanswered) - len(names); more > 0 {
		out += fmt.Sprintf(" and %d more", more)
	}
	return out
}

// statusOf returns the status that reports an error.
func statusOf(err error) int {
	if errors.Is(err, errUnknown) {
		return fasthttp.StatusNotFound
	}
	return fasthttp.StatusServiceUnavailable
}

// errorBody is the body of a response that reports a failure.
type errorBody struct {
	Error      string       `json:"error"`
	Unanswered []Unanswered `json:"unanswered,omitempty"`
}

func writeError(ctx *fasthttp.RequestCtx, status int, message string, unanswered []Unanswered) {
	writeJSON(ctx, status, errorBody{Error: message, Unanswered: unanswered})
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetStatusCode(status)
	ctx.SetBody(append(data, '\n'))
}
