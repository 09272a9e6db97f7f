GO ?= go
DEPLOYMENT ?= kumot
# SKIP holds names of tests to pass over, separated by |.
SKIP ?=

.PHONY: build test demo

build:
	$(GO) build -o bin/ ./cmd/... ./standin/cmd/...

test:
	$(GO) test -count=1 $(if $(SKIP),-skip '^($(SKIP))$$') ./... ./standin/...

# Runs a whole deployment on loopback: make demo DEPLOYMENT=ruedasol
demo: build
	bin/demo -deployment $(DEPLOYMENT)
