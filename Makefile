BIN := bin
PACKAGES := ./...

.PHONY: build demo test lint format bench prove scale

build:
	go build -o $(BIN)/ ./cmd/...

demo: build
	go run ./internal/demo $(BIN)

lint:
	@unformatted=$$(go -C tools tool gofumpt -l $(CURDIR)/cmd $(CURDIR)/pkg $(CURDIR)/standin $(CURDIR)/internal); \
	if [ -n "$$unformatted" ]; then echo "not formatted:"; echo "$$unformatted"; exit 1; fi
	go vet $(PACKAGES)
	go -C tools build -o $(CURDIR)/$(BIN)/staticcheck honnef.co/go/tools/cmd/staticcheck
	$(BIN)/staticcheck $(PACKAGES)

format:
	go -C tools tool gofumpt -w $(CURDIR)/cmd $(CURDIR)/pkg $(CURDIR)/standin $(CURDIR)/internal

test: lint build
	go test -race $(PACKAGES)
