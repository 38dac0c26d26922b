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

// KVHandle identifies a KV cache that a prefill engine has exported.
type KVHandle struct {
	Address netip.AddrPort `json:"remote_address"`
	ID      string         `json:"remote_kv_id"`
	Bytes   int64          `json:"bytes"`
}

// Call contains the parameters that all calls for one request share.
type Call struct {
	// RequestID is the dispatch request ID in hexadecimal.
	RequestID string
	// Priority is the index of the rank. 0 is the most urgent.
	Priority int
	Fencing  uint64
	// Body is the caller's chat request.
	Body map[string]json.RawMessage
}

// RunningRequest is one running request in a Report.
type RunningRequest struct {
	RequestID string `json:"request_id"`
	Tokens    int    `json:"tokens"`
}

// Report is the load that an engine reports. It may be out of date.
type Report struct {
	Running    []RunningRequest `json:"running"`
	FreePlaces int              `json:"free_places"`
	FreePieces int              `json:"free_pieces"`
	Leaving    bool             `json:"leaving"`
	// Exports are the IDs of the exported KV caches that were not fetched yet.
	Exports []string `json:"exports"`
}

// EngineClient sends requests to model engines.
type EngineClient struct {
	client *http.Client
}

// NewEngineClient returns an EngineClient that does not follow redirects. A redirect is
// a failure of the engine.
func NewEngineClient() *EngineClient {
	return &EngineClient{client: newClient()}
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

// send sends one request. The caller must close the body of the response. A status
// that is not 2xx is an error.
func (e *EngineClient) send(ctx context.Context, method, url string, call Call, body []byte) (*http.Response, error) {
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
		return nil, classifyError(err)
	}
	if response.StatusCode/100 != 2 {
		drainAndClose(response)
		return nil, statusError(response.StatusCode)
	}
	return response, nil
}

func drainAndClose(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 1<<16))
	_ = response.Body.Close()
}

const (
	// maxPrefillBytes limits the response to a prefill.
	maxPrefillBytes = 1 << 20
	// maxReportBytes limits a load report.
	maxReportBytes = 4 << 20
)

// readJSON decodes a body that is whole: one value, up to the end that its length, its
// last chunk or the end of the connection shows. Errors wrap ErrFailedAfterSend.
func readJSON(response *http.Response, limit int64, value any) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return errors.Newf("read response: %v: %w", err, ErrFailedAfterSend)
	}
	if int64(len(body)) > limit {
		return errors.Newf("response is larger than %d bytes: %w", limit, ErrFailedAfterSend)
	}
	if err := json.Unmarshal(body, value); err != nil {
		return errors.Newf("decode response: %v: %w", err, ErrFailedAfterSend)
	}
	return nil
}

// Prefill runs the prompt on a prefill engine and returns the handle of its KV
// cache. The engine keeps the cache for less than a second.
func (e *EngineClient) Prefill(ctx context.Context, address netip.AddrPort, call Call) (KVHandle, error) {
	body, err := encodeBody(call, transferParameters{DoRemoteDecode: true}, false)
	if err != nil {
		return KVHandle{}, err
	}
	response, err := e.send(ctx, http.MethodPost, urlOf(address, "/v1/chat/completions"), call, body)
	if err != nil {
		return KVHandle{}, errors.Newf("prefill: %w", err)
	}
	defer drainAndClose(response)
	var decoded prefillResponse
	if err := readJSON(response, maxPrefillBytes, &decoded); err != nil {
		return KVHandle{}, errors.Newf("prefill: %w", err)
	}
	handle := decoded.Transfer.Handle
	if handle.ID == "" || !handle.Address.IsValid() {
		return KVHandle{}, errors.Newf("prefill: response has no handle: %w", ErrFailedAfterSend)
	}
	return handle, nil
}

// Decode starts the output of a request from its exported KV cache. The output
// begins after resumeFrom tokens. idleTimeout limits the wait for each event.
func (e *EngineClient) Decode(ctx context.Context, address netip.AddrPort, call Call, handle KVHandle, resumeFrom int, idleTimeout time.Duration) (*Stream, error) {
	transfer := transferParameters{DoRemotePrefill: true, Handle: &handle, ResumeFrom: resumeFrom}
	body, err := encodeBody(call, transfer, true)
	if err != nil {
		return nil, err
	}
	return e.openStream(ctx, http.MethodPost, urlOf(address, "/v1/chat/completions"), call, body, idleTimeout)
}

// Resume continues the stream of a running request on a new connection.
func (e *EngineClient) Resume(ctx context.Context, address netip.AddrPort, call Call, from int, idleTimeout time.Duration) (*Stream, error) {
	url := urlOf(address, "/v1/requests/"+call.RequestID+"/stream?from="+strconv.Itoa(from))
	return e.openStream(ctx, http.MethodGet, url, call, nil, idleTimeout)
}

func (e *EngineClient) openStream(parent context.Context, method, url string, call Call, body []byte, idleTimeout time.Duration) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(parent)
	watchdog := time.AfterFunc(idleTimeout, func() { cancel(ErrIdleTimeout) })
	response, err := e.send(ctx, method, url, call, body)
	if err != nil {
		watchdog.Stop()
		if errors.Is(context.Cause(ctx), ErrIdleTimeout) {
			err = ErrIdleTimeout
		}
		cancel(nil)
		return nil, errors.Newf("open stream: %w", err)
	}
	return newStream(ctx, cancel, response, watchdog, idleTimeout), nil
}

// Cancel cancels a request at an engine. It succeeds if the engine does not have
// the request.
func (e *EngineClient) Cancel(ctx context.Context, address netip.AddrPort, call Call) error {
	url := urlOf(address, "/v1/requests/"+call.RequestID+"/cancel")
	response, err := e.send(ctx, http.MethodPost, url, call, nil)
	if errors.Is(err, ErrNotFound) {
		return nil
	}
	if err != nil {
		return errors.Newf("cancel: %w", err)
	}
	drainAndClose(response)
	return nil
}

// ReleaseKV frees an exported KV cache that will not be fetched. It succeeds if the
// engine does not have the cache.
func (e *EngineClient) ReleaseKV(ctx context.Context, call Call, handle KVHandle) error {
	response, err := e.send(ctx, http.MethodDelete, urlOf(handle.Address, "/v1/kv/"+handle.ID), call, nil)
	if errors.Is(err, ErrNotFound) {
		return nil
	}
	if err != nil {
		return errors.Newf("release KV cache: %w", err)
	}
	drainAndClose(response)
	return nil
}

// Load returns the load report of an engine.
func (e *EngineClient) Load(ctx context.Context, address netip.AddrPort) (Report, error) {
	response, err := e.send(ctx, http.MethodGet, urlOf(address, "/v1/load"), Call{}, nil)
	if err != nil {
		return Report{}, errors.Newf("read load: %w", err)
	}
	defer drainAndClose(response)
	var report Report
	if err := readJSON(response, maxReportBytes, &report); err != nil {
		return Report{}, errors.Newf("read load: %w", err)
	}
	return report, nil
}
