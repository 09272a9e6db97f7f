GO ?= go
DEPLOYMENT ?= kumot

.PHONY: build test demo

build:
	$(GO) build -o bin/ ./cmd/... ./standin/cmd/...

test:
	$(GO) test -count=1 ./... ./standin/...

# Runs a whole deployment on loopback: make demo DEPLOYMENT=ruedasol
demo: build
	bin/demo -deployment $(DEPLOYMENT)
