package front

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/turmerictide/turmerictide/pkg/dispatch"
	"github.com/turmerictide/turmerictide/pkg/endpoint"
	"github.com/turmerictide/turmerictide/pkg/poison"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// bytesPerToken estimates prompt tokens, since only engines have tokenizers.
const bytesPerToken = 4

// chatJob is one chat request on its way.
type chatJob struct {
	id           dispatch.RequestID
	service      ticket.Service
	team         ticket.Team
	rank         int
	model        string
	body         map[string]json.RawMessage
	stream       bool
	promptTokens int
	outputTokens int
	prefixes     []dispatch.PrefixHash
	fingerprint  poison.Fingerprint
	// suspicions are the ends under such requests that were known as the last attempt began.
	suspicions []poison.CrashID
	arrival    time.Time
	log        logr.Logger
}

func (j *chatJob) targets() ticket.Rank {
	return j.service.Ranks[j.rank]
}

type chatParameters struct {
	Model               string `json:"model"`
	Stream              bool   `json:"stream"`
	MaxTokens           int    `json:"max_tokens"`
	MaxCompletionTokens int    `json:"max_completion_tokens"`
}

func (f *Front) serveChat(w http.ResponseWriter, r *http.Request) {
	f.work.begin()
	defer f.work.end()
	f.serving.Add(1)
	defer f.serving.Add(-1)
	ctx, span := tracer.Start(r.Context(), "front chat", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	job, failure := f.newChatJob(w, r)
	if failure != nil {
		writeError(w, failure)
		return
	}
	span.SetAttributes(
		attribute.String("request_id", job.id.String()),
		attribute.String("caller", job.team.Name),
		attribute.String("rank", job.targets().Name),
	)
	w.Header().Set(headerRequestID, job.id.String())
	answer := newChatAnswer(w, job, f.config.Now)
	served, err := f.runChat(ctx, job, answer)
	if err != nil {
		failure := faultOf(err)
		answer.fail(failure)
		served.Code = string(failure.code)
	} else {
		answer.complete()
	}
	f.finishChat(job, answer, served)
}

// finishChat records and logs how a request ended.
func (f *Front) finishChat(job *chatJob, answer *chatAnswer, served Served) {
	target := job.targets()
	served.Service = job.service.Name
	served.Rank = target.Name
	served.Total = f.config.Now().Sub(job.arrival)
	served.Tokens = answer.tokens
	if answer.tokens > 0 {
		served.FirstToken = answer.firstAt.Sub(job.arrival)
	}
	gap := time.Duration(0)
	if answer.tokens > 1 {
		gap = answer.lastAt.Sub(answer.firstAt) / time.Duration(answer.tokens-1)
	}
	served.InTarget = served.Code == codeOK && served.FirstToken <= time.Duration(target.FirstTokenTarget) && gap <= time.Duration(target.TokenGapTarget)
	f.config.Record(served)
	job.log.V(1).Info("chat request ended", "code", served.Code, "tokens", served.Tokens,
		"first_token", served.FirstToken.String(), "total", served.Total.String(), "retries", served.Retries)
}

// codeOK is recorded for a whole answer.
const codeOK = "ok"

// newChatJob checks a request and prepares it.
func (f *Front) newChatJob(w http.ResponseWriter, r *http.Request) (*chatJob, *fault) {
	arrival := f.config.Now()
	state, team, failure := f.identify(r)
	if failure != nil {
		return nil, failure
	}
	content, failure := f.readBody(w, r)
	if failure != nil {
		return nil, failure
	}
	var body map[string]json.RawMessage
	var parameters chatParameters
	if json.Unmarshal(content, &body) != nil || json.Unmarshal(content, &parameters) != nil {
		return nil, newFault(codeInvalidJSON, "the body is not a JSON object of the expected shape")
	}
	if parameters.Model == "" {
		return nil, newFault(codeModelMissing, "the body names no model")
	}
	service, ok := state.ServiceOfModel(parameters.Model)
	if !ok {
		return nil, newFault(codeModelUnknown, "there is no model of this name")
	}
	rank, failure := chooseRank(r, service, team)
	if failure != nil {
		return nil, failure
	}
	job := &chatJob{
		id: f.config.Client.NewRequestID(), service: service, team: team, rank: rank,
		model: parameters.Model, body: body, stream: parameters.Stream, arrival: arrival,
		promptTokens: len(body["messages"])/bytesPerToken + 1,
		outputTokens: outputLimit(parameters, service),
		fingerprint:  poison.NewFingerprint([]byte(service.Name), body["messages"]),
	}
	job.prefixes = hashPrefixes(parameters.Model, body["messages"])
	job.body["max_tokens"], _ = json.Marshal(job.outputTokens)
	job.log = f.config.Log.WithValues("request_id", job.id.String(), "caller", team.Name, "rank", service.Ranks[rank].Name, "service", service.Name)
	return job, nil
}

func outputLimit(parameters chatParameters, service ticket.Service) int {
	limit := max(parameters.MaxTokens, parameters.MaxCompletionTokens)
	if limit <= 0 {
		return service.OutputTokens
	}
	return limit
}

// hashPrefixes returns the hashes of the prompt's beginnings.
func hashPrefixes(model string, messages []byte) []dispatch.PrefixHash {
	var prefixes []dispatch.PrefixHash
	for _, tokens := range dispatch.PrefixTokens {
		length := tokens * bytesPerToken
		if len(messages) < length {
			break
		}
		hash := xxhash.Sum64(messages[:length]) ^ xxhash.Sum64String(model)
		prefixes = append(prefixes, dispatch.PrefixHash(hash))
	}
	return prefixes
}

func (j *chatJob) call(grant dispatch.Grant) endpoint.Call {
	return endpoint.Call{RequestID: grant.ID.String(), Priority: grant.Priority, Fencing: uint64(grant.Fencing), Body: j.body}
}
