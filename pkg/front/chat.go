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

// bytesPerToken is used to estimate prompt tokens, since only engines have tokenizers.
const bytesPerToken = 4

// chatJob is one chat request that is being served.
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
	// parts are the messages before the last one, which other requests may share.
	parts []poison.Part
	// knownCrashes are the crashes of requests with this fingerprint that were recorded when
	// the last attempt began.
	knownCrashes []poison.CrashID
	arrival      time.Time
	log          logr.Logger
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
	f.tasks.begin()
	defer f.tasks.end()
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
	response := newChatResponse(w, job, f.config.Now)
	stats, err := f.runChat(ctx, job, response)
	if err != nil {
		failure := toFault(err)
		response.fail(failure)
		stats.Code = string(failure.code)
	} else {
		response.complete()
	}
	f.recordChat(job, response, stats)
	if err != nil && response.started {
		// Leaves out the last chunk, since not every caller looks for the [DONE] event.
		panic(http.ErrAbortHandler)
	}
}

// recordChat records and logs the outcome of a request.
func (f *Front) recordChat(job *chatJob, response *chatResponse, stats RequestStats) {
	targets := job.targets()
	stats.Service = job.service.Name
	stats.Rank = targets.Name
	stats.TotalLatency = f.config.Now().Sub(job.arrival)
	stats.OutputTokens = response.tokens
	if response.tokens > 0 {
		stats.FirstTokenLatency = response.firstTokenAt.Sub(job.arrival)
	}
	gap := time.Duration(0)
	if response.tokens > 1 {
		gap = response.lastTokenAt.Sub(response.firstTokenAt) / time.Duration(response.tokens-1)
	}
	stats.InTarget = stats.Code == codeOK && stats.FirstTokenLatency <= time.Duration(targets.FirstTokenTarget) && gap <= time.Duration(targets.TokenGapTarget)
	f.config.Record(stats)
	job.log.V(1).Info("chat request ended", "code", stats.Code, "tokens", stats.OutputTokens,
		"first_token", stats.FirstTokenLatency.String(), "total", stats.TotalLatency.String(), "retries", stats.Retries)
}

// codeOK is recorded for a complete response.
const codeOK = "ok"

// newChatJob validates a request and returns its job.
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
	job.parts = sharedMessages(body["messages"])
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

// hashPrefixes returns a hash of each prefix of the prompt that has one of the lengths in
// dispatch.PrefixTokens.
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

// sharedMessages returns the messages of a prompt without the last one, which is unique to the
// request.
func sharedMessages(messages []byte) []poison.Part {
	var list []json.RawMessage
	if json.Unmarshal(messages, &list) != nil || len(list) == 0 {
		return nil
	}
	var parts []poison.Part
	for _, message := range list[:min(len(list)-1, poison.MaxParts)] {
		parts = append(parts, poison.NewPart(string(message)))
	}
	return parts
}

func (j *chatJob) call(grant dispatch.Grant) endpoint.Call {
	return endpoint.Call{RequestID: grant.ID.String(), Priority: grant.Priority, Fencing: uint64(grant.Fencing), Body: j.body}
}
