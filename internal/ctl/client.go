// Package ctl is the operators' command line over the administration API.
package ctl

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// requestTimeout bounds one call of the administration API.
const requestTimeout = 30 * time.Second

// StatusError is an HTTP response that reports a failure.
type StatusError struct {
	Status  int
	Message string
}

// Error implements error.
func (e *StatusError) Error() string { return e.Message }

// client sends requests to the first daemon that responds.
type client struct {
	servers []string
	token   string
}

// get reads path; query may be nil.
func (c *client) get(path string, query url.Values) ([]byte, error) {
	return c.do(fasthttp.MethodGet, path, query, nil)
}

// post sends body to path. Every daemon is tried in turn: operations carry an
// ID, so an operation that already reached one daemon can be repeated at the
// next.
func (c *client) post(path string, query url.Values, body []byte) ([]byte, error) {
	return c.do(fasthttp.MethodPost, path, query, body)
}

func (c *client) do(method, path string, query url.Values, body []byte) ([]byte, error) {
	var last error
	for _, server := range c.servers {
		data, err := c.call(method, server, path, query, body)
		if err == nil || !retriable(err) {
			return data, err
		}
		last = eris.Wrap(err, server)
	}
	return nil, last
}

// retriable reports whether the request may succeed at another daemon.
func retriable(err error) bool {
	var se *StatusError
	return !eris.As(err, &se) || se.Status == fasthttp.StatusServiceUnavailable
}

func (c *client) call(method, server, path string, query url.Values, body []byte) ([]byte, error) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(strings.TrimSuffix(server, "/") + path + "?" + query.Encode())
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	req.SetBody(body)
	if err := fasthttp.DoTimeout(req, resp, requestTimeout); err != nil {
		return nil, eris.Wrap(err, "call daemon")
	}
	data := append([]byte(nil), resp.Body()...)
	if resp.StatusCode() >= fasthttp.StatusBadRequest {
		return nil, &StatusError{Status: resp.StatusCode(), Message: errorMessage(resp.StatusCode(), data)}
	}
	return data, nil
}

func errorMessage(status int, data []byte) string {
	var f struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(data, &f) == nil && f.Error != "" {
		return f.Error
	}
	return fmt.Sprintf("status %d: %s", status, data)
}
