// Package operator serves the operator listener: the state of one daemon as
// JSON, its metrics, profiles and its health. All routes except health require
// the operator token.
package operator

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-chi/chi/v5/middleware"

	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// Status is the state of one daemon.
type Status struct {
	Host             string        `json:"host"`
	AvailabilityZone string        `json:"availability_zone"`
	Ticket           ticket.Number `json:"ticket"`
	TicketAttempt    string        `json:"ticket_attempt"`
	TicketSince      time.Time     `json:"ticket_since"`
	Ready            bool          `json:"ready"`
	Serving          int           `json:"serving"`
	Hosts            []Host        `json:"hosts"`
	// HostsDigest is a digest of the list of daemons. It is equal on daemons with the
	// same list.
	HostsDigest string  `json:"hosts_digest"`
	Shards      []Shard `json:"shards"`
	Traffic     Traffic `json:"traffic"`
}

// Host is the entry of a daemon in the list of the reporting daemon.
type Host struct {
	Host             string         `json:"host"`
	AvailabilityZone string         `json:"availability_zone"`
	Peer             netip.AddrPort `json:"peer"`
	State            string         `json:"state"`
}

// Shard is the load of a shard that a daemon owns.
type Shard struct {
	Shard string `json:"shard"`
	// Owned is false if the daemon owns the shard only temporarily.
	Owned       bool `json:"owned"`
	Queued      int  `json:"queued"`
	Held        int  `json:"held"`
	DecodeUsed  int  `json:"decode_used"`
	DecodeLimit int  `json:"decode_limit"`
	PiecesUsed  int  `json:"pieces_used"`
	PiecesLimit int  `json:"pieces_limit"`
}

// Traffic counts the traffic of a daemon with its peers.
type Traffic struct {
	SentBytes      uint64 `json:"sent_bytes"`
	ReceivedBytes  uint64 `json:"received_bytes"`
	SentFrames     uint64 `json:"sent_frames"`
	ReceivedFrames uint64 `json:"received_frames"`
	DroppedFrames  uint64 `json:"dropped_frames"`
	Connections    int    `json:"connections"`
}

// Config is the configuration of the operator listener. Its functions may be called
// concurrently.
type Config struct {
	Token   string
	Status  func() Status
	State   func() *ticket.State
	Metrics http.Handler
}

// The routes of the operator listener.
const (
	PathStatus  = "/v1/status"
	PathState   = "/v1/state"
	PathMetrics = "/metrics"
)

// NewHandler returns the handler of the operator listener.
func NewHandler(config Config) http.Handler {
	router := chi.NewRouter()
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	router.Group(func(guarded chi.Router) {
		guarded.Use(requireToken(config.Token))
		guarded.Get(PathStatus, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, config.Status()) })
		guarded.Get(PathState, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, newStateView(config.State())) })
		guarded.Handle(PathMetrics, config.Metrics)
		guarded.Mount("/debug", middleware.Profiler())
	})
	return router
}

// StateView is the current operators' state without the tokens of the callers.
type StateView struct {
	Head     ticket.Head               `json:"head"`
	Services map[string]ticket.Service `json:"services"`
	Pools    map[string]ticket.Pool    `json:"pools"`
	Teams    int                       `json:"teams"`
}

func newStateView(state *ticket.State) StateView {
	if state == nil {
		return StateView{}
	}
	return StateView{Head: state.Head, Services: state.Services, Pools: state.Pools, Teams: state.TeamCount()}
}

func requireToken(token string) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			given, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
			if !ok || subtle.ConstantTimeCompare([]byte(given), []byte(token)) != 1 {
				http.Error(w, "operator token is needed", http.StatusUnauthorized)
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}

func writeJSON(w http.ResponseWriter, message any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(message)
}
