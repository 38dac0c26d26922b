// Package front terminates callers' HTTP and sees each request through.
//
// The flow of a chat request is: identify the team and its rank, acquire a
// reservation from a dispatcher, run the prefill, have the decode endpoint fetch
// the KV cache, relay each token to the caller, and release the reservation. A
// stream that goes silent is resumed on a fresh connection; one whose endpoint
// is gone is continued on another endpoint from the token that came last. A call
// to a plain service takes a reservation and is sent; with an Idempotency-Key it
// is claimed in between. The front alone answers its caller, once.
package front

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-logr/logr"
	"go.opentelemetry.io/otel"

	"github.com/turmerictide/turmerictide/pkg/claim"
	"github.com/turmerictide/turmerictide/pkg/connection"
	"github.com/turmerictide/turmerictide/pkg/dispatch"
	"github.com/turmerictide/turmerictide/pkg/endpoint"
	"github.com/turmerictide/turmerictide/pkg/poison"
	"github.com/turmerictide/turmerictide/pkg/retry"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

var tracer = otel.Tracer("turmerictide/front")

// Config holds what a Front needs.
type Config struct {
	Host     string
	FrontTag uint32
	Client   *dispatch.Client
	Engine   *endpoint.Engine
	Plain    *endpoint.Plain
	Keeper   *claim.Keeper
	Poison   *poison.Register
	// SpreadMark tells the other daemons of a verdict on a request.
	SpreadMark func(poison.CrashRecord)
	// State returns the operators' state in force, nil before the first.
	State func() *ticket.State
	// IsLive reports whether the life of a front that made a claim goes on.
	IsLive    func(host string, tag uint32) bool
	Now       func() time.Time
	Log       logr.Logger
	BodyBytes int64
	// Buffers bounds the bodies of all requests together.
	Buffers *connection.Buffers
	Record  func(Served)
}

// Served is what is measured of one request.
type Served struct {
	Service string
	Rank    string
	// Code is the stable code of the answer, "ok" for a whole one.
	Code       string
	FirstToken time.Duration
	Total      time.Duration
	Tokens     int
	// InTarget is true when both latency targets were met.
	InTarget bool
	// WastedPrefillTokens were computed and never used.
	WastedPrefillTokens int
	PrefillTokens       int
	Retries             int
}

// Front serves callers.
type Front struct {
	config  Config
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}
	work    work
	ready   atomic.Bool
	serving atomic.Int64

	mu      sync.Mutex
	budgets map[string]*retry.Budget
}

// NewFront returns a Front that is not ready yet.
func NewFront(config Config) *Front {
	ctx, cancel := context.WithCancel(context.Background())
	return &Front{config: config, ctx: ctx, cancel: cancel, done: make(chan struct{}), budgets: map[string]*retry.Budget{}}
}

// Handler returns the routes of the caller listener.
func (f *Front) Handler() http.Handler {
	router := chi.NewRouter()
	router.Post("/v1/chat/completions", f.serveChat)
	router.Get("/v1/models", f.serveModels)
	router.HandleFunc("/services/{service}", f.servePlain)
	router.HandleFunc("/services/{service}/*", f.servePlain)
	router.Get("/healthz", f.serveHealth)
	router.Get("/readyz", f.serveReady)
	router.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, newFault(codeRouteUnknown, "there is nothing at this path"))
	})
	router.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, newFault(codeMethodWrong, "this path does not take this method"))
	})
	return router
}

// SetReady says whether /readyz answers with success.
func (f *Front) SetReady(ready bool) {
	f.ready.Store(ready)
}

// Serving returns the number of requests that are being served.
func (f *Front) Serving() int {
	return int(f.serving.Load())
}

// Done is closed when Close has returned.
func (f *Front) Done() <-chan struct{} {
	return f.done
}

// Close ends what runs in the background after a grace for it to complete.
func (f *Front) Close(grace time.Duration) {
	f.work.wait(grace)
	f.cancel()
	f.work.wait(grace)
	close(f.done)
}

// background runs work that outlives its request.
func (f *Front) background(run func(ctx context.Context)) {
	f.work.begin()
	go func() {
		defer f.work.end()
		run(f.ctx)
	}()
}

func (f *Front) serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func (f *Front) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !f.ready.Load() || f.config.State() == nil {
		writeError(w, newFault(codeNotReady, "this daemon takes no requests now"))
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// budget returns the retry budget of a service.
func (f *Front) budget(service ticket.Service) *retry.Budget {
	f.mu.Lock()
	defer f.mu.Unlock()
	b, ok := f.budgets[service.Name]
	if !ok {
		b = retry.NewBudget(service.RetryShare)
		f.budgets[service.Name] = b
	}
	b.SetShare(service.RetryShare)
	return b
}

// RetryCounts returns the retries made and denied for all services.
func (f *Front) RetryCounts() (spent, denied int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.budgets {
		s, d := b.Counts()
		spent += s
		denied += d
	}
	return spent, denied
}
