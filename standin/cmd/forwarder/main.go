// Command forwarder forwards every request to one of several targets with
// fasthttp and does nothing else. It is the baseline for the throughput of the
// daemon.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"sync/atomic"

	"github.com/valyala/fasthttp"
)

// maxConnections limits the connections to one target.
const maxConnections = 512

func main() {
	listen := flag.String("listen", "127.0.0.1:8080", "IP:port to serve")
	targets := flag.String("targets", "", "IP:port of the targets, separated by commas")
	flag.Parse()
	if err := serve(*listen, strings.Split(*targets, ",")); err != nil {
		fmt.Fprintln(os.Stderr, "forwarder:", err)
		os.Exit(1)
	}
}

func serve(listen string, targets []string) error {
	clients := make([]*fasthttp.HostClient, len(targets))
	for i, t := range targets {
		clients[i] = &fasthttp.HostClient{Addr: t, MaxConns: maxConnections}
	}
	var next atomic.Uint64
	handler := func(ctx *fasthttp.RequestCtx) {
		c := clients[next.Add(1)%uint64(len(clients))]
		if err := c.Do(&ctx.Request, &ctx.Response); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadGateway)
		}
	}
	return fasthttp.ListenAndServe(listen, handler)
}
