GO ?= go
DEPLOYMENT ?= kumot

.PHONY: build test demo

build:
	$(GO) build -o bin/ ./cmd/... ./standin/cmd/...

test:
	$(GO) test -count=1 ./... ./standin/...
