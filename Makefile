# Targets for developers and CI. Go, gcc and make are all that a machine needs.
MODULES := . cmd/lagoonctl cmd/lagoonstile cmd/standin
PACKAGES := ./... ./cmd/lagoonctl/... ./cmd/lagoonstile/... ./cmd/standin/...
export GOFLAGS := -buildvcs=false
export CGO_ENABLED := 1

.PHONY: build demo test check

build:
	go build -o bin/ ./cmd/lagoonstile ./cmd/lagoonctl ./cmd/standin

demo: build
	./bin/standin demo

check:
	@unformatted=$$(gofmt -l .); if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	go vet $(PACKAGES)
	go tool staticcheck $(PACKAGES)

test: check
	go test -race $(PACKAGES)
