package gateway_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/gateway"
)

func TestRejectionEchoesRequestID(t *testing.T) {
	const id = "01M904GS00RPVNAV3ZEEHW8BY5"
	tests := map[string]struct {
		ready bool
		path  string
	}{
		"daemon not ready": {false, "/v1/entries/quote/"},
		"unknown entry":    {true, "/v1/entries/none/"},
		"unknown path":     {true, "/quote"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			opt := gateway.CallerOptions{Server: &fixedServer{}, Ready: func() bool { return tt.ready }}
			ctx := callHandler(opt, tt.path, "", gateway.HeaderRequestID, id)
			g.Expect(string(ctx.Response.Header.Peek(gateway.HeaderVerdict))).To(Equal("not-run"))
			g.Expect(string(ctx.Response.Header.Peek(gateway.HeaderRequestID))).To(Equal(id))
		})
	}
}
