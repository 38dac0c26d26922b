// Package front terminates callers' HTTP connections and serves their requests.
//
// The flow of a chat request is: identify the team and its rank, acquire a
// reservation from a dispatcher, run the prefill, have the decode endpoint fetch
// the KV cache, relay each token to the caller, and release the reservation. A
// stream that sends no data is resumed on a new connection. If its endpoint has
// failed, the request continues on another endpoint after the last token that
// was received.
//
// A call to a plain service is sent after the front has acquired a reservation. A
// call with an Idempotency-Key is also claimed before it is sent. Only the front
// responds to the caller, and it does so once.
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

type Config struct {
	Host     string
	FrontTag uint32
	Client   *dispatch.Client
	Engine   *endpoint.EngineClient
	Plain    *endpoint.PlainClient
	Keeper   *claim.Keeper
	Poison   *poison.Register
	// BroadcastCrashRecord sends a crash record to all other daemons.
	BroadcastCrashRecord func(poison.CrashRecord)
	// Parts determines the messages of prompts that crash endpoints.
	Parts *poison.PartRegister
	// BroadcastPartRecord sends a record of messages to all other daemons.
	BroadcastPartRecord func(poison.PartRecord)
	// State returns the current operators' state, or nil before the first one was received.
	State func() *ticket.State
	// IsLive reports whether the incarnation of a front that made a claim is still running.
	IsLive func(host string, tag uint32) bool
	Now    func() time.Time
	Log    logr.Logger
	// MaxBodyBytes limits the body of one request.
	MaxBodyBytes int64
	// Buffers limits the total size of the bodies of all requests.
	Buffers *connection.Buffers
	Record  func(RequestStats)
}

// RequestStats are the measurements of one request.
type RequestStats struct {
	Service string
	Rank    string
	// Code is the error code, or "ok" for a complete response.
	Code              string
	FirstTokenLatency time.Duration
	TotalLatency      time.Duration
	OutputTokens      int
	// InTarget is true if both latency targets were met.
	InTarget bool
	// WastedPrefillTokens were computed and not used for decoding.
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
	tasks   taskCounter
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

// Handler returns the routes of the caller listener. Its connections are those of connection.Guard, and
// the server's ConnContext is connection.GuardContext.
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
		writeError(w, newFault(codeMethodNotAllowed, "this path does not take this method"))
	})
	return requireCertainEnd(router)
}

// requireCertainEnd rejects requests whose end can be taken for different ones, and closes their
// connections.
func requireCertainEnd(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer connection.EndResponse(r.Context())
		if connection.CheckEnd(r) != nil {
			w.Header().Set("Connection", "close")
			writeError(w, newFault(codeFramingInvalid, "the end of the request is ambiguous"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// SetReady sets whether /readyz reports success.
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

// Close waits up to grace for requests and background tasks to complete. Then it
// cancels the background tasks and waits up to grace for them to return.
func (f *Front) Close(grace time.Duration) {
	f.tasks.wait(grace)
	f.cancel()
	f.tasks.wait(grace)
	close(f.done)
}

// runInBackground runs a task that may outlive its request.
func (f *Front) runInBackground(run func(ctx context.Context)) {
	f.tasks.begin()
	go func() {
		defer f.tasks.end()
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

// retryBudget returns the retry budget of a service.
func (f *Front) retryBudget(service ticket.Service) *retry.Budget {
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

// RetryCounts returns the numbers of granted and denied retries of all services.
func (f *Front) RetryCounts() (retries, denied int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.budgets {
		s, d := b.Counts()
		retries += s
		denied += d
	}
	return retries, denied
}
