package front

import (
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/turmerictide/turmerictide/pkg/connection"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// headerRank selects one of the ranks that the caller's team may use.
const headerRank = "X-Rank"

// headerRequestID identifies the request in responses and logs.
const headerRequestID = "X-Request-Id"

// identify returns the current state and the team of a request.
func (f *Front) identify(r *http.Request) (*ticket.State, ticket.Team, *fault) {
	state := f.config.State()
	if state == nil {
		return nil, ticket.Team{}, newRetryableFault(codeNotReady, "no ticket is in force here yet", defaultRetryAfter)
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, ticket.Team{}, newFault(codeTokenInvalid, "a bearer token is needed")
	}
	team, ok := state.TeamOfToken(token)
	if !ok {
		return nil, ticket.Team{}, newFault(codeTokenInvalid, "the bearer token is not known")
	}
	return state, team, nil
}

// chooseRank returns the index of the rank of a request in a service. This is the
// rank in the header, or the first of the team's ranks that the service has.
func chooseRank(r *http.Request, service ticket.Service, team ticket.Team) (int, *fault) {
	requested := r.Header.Get(headerRank)
	for _, name := range team.Ranks {
		if requested != "" && name != requested {
			continue
		}
		if rank, ok := service.RankIndex(name); ok {
			return rank, nil
		}
	}
	if requested != "" {
		return 0, newFault(codeRankForbidden, "the team may not use this rank in this service")
	}
	return 0, newFault(codeRankForbidden, "the team has no rank in this service")
}

// readBody reads the whole body, up to MaxBodyBytes.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *fault) {
	body, err := f.config.Buffers.Read(w, r, f.config.MaxBodyBytes)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, newFault(codeBodyTooLarge, "the body is over the limit")
	}
	if errors.Is(err, connection.ErrBuffersFull) {
		return nil, newRetryableFault(codeNotReady, "this daemon has no memory for the body now", defaultRetryAfter)
	}
	var network net.Error
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network) || r.Context().Err() != nil {
		return nil, newFault(codeCallerGone, "the body broke off")
	}
	if err != nil {
		return nil, newFault(codeFramingInvalid, "the chunks of the body are invalid")
	}
	return body, nil
}
