package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
)

// KVHandle names a KV cache that a prefill engine has exported.
type KVHandle struct {
	Address netip.AddrPort `json:"remote_address"`
	ID      string         `json:"remote_kv_id"`
	Bytes   int64          `json:"bytes"`
}

// Call is what all calls for one request share.
type Call struct {
	// RequestID is the dispatch identifier in hexadecimal.
	RequestID string
	// Priority is the rank's position, 0 the most urgent.
	Priority int
	Fencing  uint64
	// Body is the caller's chat request.
	Body map[string]json.RawMessage
}

// Running is one request in an endpoint's report.
type Running struct {
	RequestID string `json:"request_id"`
	Tokens    int    `json:"tokens"`
}

// Report is an engine's account of itself. It lags.
type Report struct {
	Running    []Running `json:"running"`
	FreePlaces int       `json:"free_places"`
	FreePieces int       `json:"free_pieces"`
	Leaving    bool      `json:"leaving"`
	// Exports are the KV caches that wait to be fetched.
	Exports []string `json:"exports"`
}

// Engine calls model engines.
type Engine struct {
	client *http.Client
}

// NewEngine returns an Engine.
func NewEngine() *Engine {
	return &Engine{client: &http.Client{Transport: newTransport()}}
}

type transferParameters struct {
	DoRemoteDecode  bool      `json:"do_remote_decode,omitempty"`
	DoRemotePrefill bool      `json:"do_remote_prefill,omitempty"`
	Handle          *KVHandle `json:"handle,omitempty"`
	ResumeFrom      int       `json:"resume_from_token,omitempty"`
}

type prefillResponse struct {
	Transfer struct {
		Handle KVHandle `json:"handle"`
	} `json:"kv_transfer_params"`
}

func encodeBody(call Call, transfer transferParameters, stream bool) ([]byte, error) {
	body := make(map[string]json.RawMessage, len(call.Body)+2)
	for key, value := range call.Body {
		body[key] = value
	}
	parameters, err := json.Marshal(transfer)
	if err != nil {
		return nil, errors.Newf("encode transfer parameters: %w", err)
	}
	body["kv_transfer_params"] = parameters
	body["stream"] = json.RawMessage(strconv.FormatBool(stream))
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Newf("encode body: %w", err)
	}
	return encoded, nil
}

// send makes one request. The caller closes the response's body.
func (e *Engine) send(ctx context.Context, method, url string, call Call, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Newf("build request: %w", err)
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderRequestID, call.RequestID)
	request.Header.Set(HeaderPriority, strconv.Itoa(call.Priority))
	request.Header.Set(HeaderFencing, strconv.FormatUint(call.Fencing, 10))
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(request.Header))
	response, err := e.client.Do(request)
	if err != nil {
		return nil, classify(err)
	}
	if response.StatusCode/100 != 2 {
		discard(response)
		return nil, statusError(response.StatusCode)
	}
	return response, nil
}

func discard(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 1<<16))
	_ = response.Body.Close()
}

// Prefill runs the prompt on a prefill engine and returns the handle of its KV
// cache, which the engine keeps for under a second.
func (e *Engine) Prefill(ctx context.Context, address netip.AddrPort, call Call) (KVHandle, error) {
	body, err := encodeBody(call, transferParameters{DoRemoteDecode: true}, false)
	if err != nil {
		return KVHandle{}, err
	}
	response, err := e.send(ctx, http.MethodPost, urlOf(address, "/v1/chat/completions"), call, body)
	if err != nil {
		return KVHandle{}, errors.Newf("prefill: %w", err)
	}
	defer discard(response)
	var answer prefillResponse
	if err := json.NewDecoder(io.LimitReader(response.Body, 1<<20)).Decode(&answer); err != nil {
		return KVHandle{}, errors.Newf("prefill: %v: %w", err, ErrBroken)
	}
	return answer.Transfer.Handle, nil
}

// Decode starts the output of a request whose KV cache handle names. Output
// begins after resumeFrom tokens. silence bounds the wait for each token.
func (e *Engine) Decode(ctx context.Context, address netip.AddrPort, call Call, handle KVHandle, resumeFrom int, silence time.Duration) (*Stream, error) {
	transfer := transferParameters{DoRemotePrefill: true, Handle: &handle, ResumeFrom: resumeFrom}
	body, err := encodeBody(call, transfer, true)
	if err != nil {
		return nil, err
	}
	return e.open(ctx, http.MethodPost, urlOf(address, "/v1/chat/completions"), call, body, silence)
}

// Resume continues the stream of a running request on a fresh connection.
func (e *Engine) Resume(ctx context.Context, address netip.AddrPort, call Call, from int, silence time.Duration) (*Stream, error) {
	url := urlOf(address, "/v1/requests/"+call.RequestID+"/stream?from="+strconv.Itoa(from))
	return e.open(ctx, http.MethodGet, url, call, nil, silence)
}

func (e *Engine) open(parent context.Context, method, url string, call Call, body []byte, silence time.Duration) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(parent)
	watchdog := time.AfterFunc(silence, func() { cancel(ErrSilent) })
	response, err := e.send(ctx, method, url, call, body)
	if err != nil {
		watchdog.Stop()
		if errors.Is(context.Cause(ctx), ErrSilent) {
			err = ErrSilent
		}
		cancel(nil)
		return nil, errors.Newf("open stream: %w", err)
	}
	return newStream(ctx, cancel, response, watchdog, silence), nil
}

// Cancel ends a request at an engine. A request that is not there is no error.
func (e *Engine) Cancel(ctx context.Context, address netip.AddrPort, call Call) error {
	url := urlOf(address, "/v1/requests/"+call.RequestID+"/cancel")
	response, err := e.send(ctx, http.MethodPost, url, call, nil)
	if errors.Is(err, ErrGone) {
		return nil
	}
	if err != nil {
		return errors.Newf("cancel: %w", err)
	}
	discard(response)
	return nil
}

// ReleaseKV frees an exported KV cache that nobody will fetch.
func (e *Engine) ReleaseKV(ctx context.Context, call Call, handle KVHandle) error {
	response, err := e.send(ctx, http.MethodDelete, urlOf(handle.Address, "/v1/kv/"+handle.ID), call, nil)
	if errors.Is(err, ErrGone) {
		return nil
	}
	if err != nil {
		return errors.Newf("release KV cache: %w", err)
	}
	discard(response)
	return nil
}

// Load reads an engine's report.
func (e *Engine) Load(ctx context.Context, address netip.AddrPort) (Report, error) {
	response, err := e.send(ctx, http.MethodGet, urlOf(address, "/v1/load"), Call{}, nil)
	if err != nil {
		return Report{}, errors.Newf("read load: %w", err)
	}
	defer discard(response)
	var report Report
	if err := json.NewDecoder(io.LimitReader(response.Body, 4<<20)).Decode(&report); err != nil {
		return Report{}, errors.Newf("read load: %w", err)
	}
	return report, nil
}
