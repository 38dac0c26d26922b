package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmerictide/turmerictide/pkg/connection"
)

// NewGatewayStore returns a Store that uses the published JSON mapping of the etcd v3
// protocol over HTTP. Calls rotate over the base URLs. timeout limits each call. For a Watch,
// it limits only the time until the response header.
func NewGatewayStore(baseURLs []string, timeout time.Duration) *Store {
	g := &gateway{
		baseURLs: baseURLs,
		timeout:  timeout,
		client: &http.Client{Transport: connection.StrictTransport{Transport: &http.Transport{
			DialContext:           (&net.Dialer{Timeout: timeout}).DialContext,
			MaxIdleConnsPerHost:   8,
			IdleConnTimeout:       30 * time.Second,
			ResponseHeaderTimeout: timeout,
		}}},
	}
	return &Store{
		Get:        g.get,
		Commit:     g.commit,
		GrantLease: g.grantLease,
		Watch:      g.watch,
	}
}

type gateway struct {
	baseURLs []string
	timeout  time.Duration
	client   *http.Client
	calls    atomic.Uint64
}

type keyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
}

func (k keyValue) entry() Entry {
	return Entry{Key: string(k.Key), Value: k.Value, Revision: Revision(k.ModRevision)}
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

type rangeResponse struct {
	Header    responseHeader `json:"header"`
	KeyValues []keyValue     `json:"kvs"`
}

type compareRequest struct {
	Result      string `json:"result"`
	Target      string `json:"target"`
	Key         []byte `json:"key"`
	ModRevision int64  `json:"mod_revision,string"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

type operation struct {
	Put    *putRequest   `json:"request_put,omitempty"`
	Range  *rangeRequest `json:"request_range,omitempty"`
	Delete *rangeRequest `json:"request_delete_range,omitempty"`
}

type transactionRequest struct {
	Compare []compareRequest `json:"compare,omitempty"`
	Success []operation      `json:"success,omitempty"`
	Failure []operation      `json:"failure,omitempty"`
}

type responseHeader struct {
	Revision int64 `json:"revision,string"`
}

type operationResponse struct {
	Range *rangeResponse `json:"response_range"`
}

type transactionResponse struct {
	Header    responseHeader      `json:"header"`
	Succeeded bool                `json:"succeeded"`
	Responses []operationResponse `json:"responses"`
}

type leaseRequest struct {
	Seconds int64 `json:"TTL,string"`
}

type leaseResponse struct {
	ID int64 `json:"ID,string"`
}

type watchCreate struct {
	Key           []byte `json:"key"`
	StartRevision int64  `json:"start_revision,string"`
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchEvent struct {
	Type     string   `json:"type"`
	KeyValue keyValue `json:"kv"`
}

type watchResult struct {
	Events []watchEvent `json:"events"`
}

type watchResponse struct {
	Result watchResult `json:"result"`
}

func (g *gateway) baseURL() string {
	call := g.calls.Add(1)
	return g.baseURLs[call%uint64(len(g.baseURLs))]
}

// send posts one message. The caller must close the body of the response.
func (g *gateway) send(ctx context.Context, path string, message any) (*http.Response, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, errors.Newf("encode %s: %w", path, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, g.baseURL()+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Newf("build %s: %w", path, err)
	}
	// Without GetBody, the transport does not send the body again after a failure. A write
	// that is sent again might be applied twice.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	response, err := g.client.Do(request)
	if err != nil {
		return nil, errors.Newf("call %s: %w", path, classify(err))
	}
	if response.StatusCode == http.StatusServiceUnavailable {
		closeBody(response)
		return nil, errors.Newf("call %s: status %d: %w", path, response.StatusCode, ErrUnavailable)
	}
	if response.StatusCode != http.StatusOK {
		closeBody(response)
		return nil, errors.Newf("call %s: status %d: %w", path, response.StatusCode, ErrOutcomeUnknown)
	}
	return response, nil
}

// classify marks an error of the dialer with ErrUnavailable, since nothing was sent, and any
// other with ErrOutcomeUnknown.
func classify(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return errors.Newf("%v: %w", err, ErrUnavailable)
	}
	return errors.Newf("%v: %w", err, ErrOutcomeUnknown)
}

func closeBody(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 1<<16))
	_ = response.Body.Close()
}

func (g *gateway) call(ctx context.Context, path string, message, result any) error {
	ctx, cancel := context.WithTimeout(ctx, g.timeout)
	defer cancel()
	response, err := g.send(ctx, path, message)
	if err != nil {
		return err
	}
	defer closeBody(response)
	if err := json.NewDecoder(response.Body).Decode(result); err != nil {
		return errors.Newf("decode %s: %v: %w", path, err, ErrOutcomeUnknown)
	}
	return nil
}

// check returns an error for a response of a service that is not the store: each response of the
// store has its revision. Without the check, an empty object would say that a key does not exist.
func (h responseHeader) check() error {
	if h.Revision <= 0 {
		return errors.Newf("response has no revision: %w", ErrOutcomeUnknown)
	}
	return nil
}

func (g *gateway) get(ctx context.Context, key string) (Entry, error) {
	var response rangeResponse
	if err := g.call(ctx, "/v3/kv/range", rangeRequest{Key: []byte(key)}, &response); err != nil {
		return Entry{}, errors.Newf("get %s: %w", key, err)
	}
	if err := response.Header.check(); err != nil {
		return Entry{}, errors.Newf("get %s: %w", key, err)
	}
	if len(response.KeyValues) == 0 {
		return Entry{Key: key}, nil
	}
	return response.KeyValues[0].entry(), nil
}

func newTransaction(commit Commit) transactionRequest {
	var request transactionRequest
	for _, compare := range commit.Compares {
		request.Compare = append(request.Compare, compareRequest{
			Result: "EQUAL", Target: "MOD", Key: []byte(compare.Key), ModRevision: int64(compare.Revision),
		})
	}
	for _, put := range commit.Puts {
		request.Success = append(request.Success, operation{
			Put: &putRequest{Key: []byte(put.Key), Value: put.Value, Lease: put.Lease.Number},
		})
	}
	for _, key := range commit.Deletes {
		request.Success = append(request.Success, operation{Delete: &rangeRequest{Key: []byte(key)}})
	}
	for _, key := range commit.Otherwise {
		request.Failure = append(request.Failure, operation{Range: &rangeRequest{Key: []byte(key)}})
	}
	return request
}

func (g *gateway) commit(ctx context.Context, commit Commit) (CommitResult, error) {
	var transaction transactionResponse
	if err := g.call(ctx, "/v3/kv/txn", newTransaction(commit), &transaction); err != nil {
		return CommitResult{}, errors.Newf("commit: %w", err)
	}
	if err := transaction.Header.check(); err != nil {
		return CommitResult{}, errors.Newf("commit: %w", err)
	}
	result := CommitResult{Succeeded: transaction.Succeeded, Revision: Revision(transaction.Header.Revision)}
	for _, response := range transaction.Responses {
		if response.Range == nil {
			continue
		}
		for _, value := range response.Range.KeyValues {
			result.Current = append(result.Current, value.entry())
		}
	}
	return result, nil
}

func (g *gateway) grantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var response leaseResponse
	seconds := max(int64(ttl/time.Second), 1)
	if err := g.call(ctx, "/v3/lease/grant", leaseRequest{Seconds: seconds}, &response); err != nil {
		return LeaseID{}, errors.Newf("grant lease: %w", err)
	}
	if response.ID == 0 {
		return LeaseID{}, errors.Newf("grant lease: response has no lease: %w", ErrOutcomeUnknown)
	}
	return LeaseID{Number: response.ID}, nil
}

func (g *gateway) watch(ctx context.Context, key string, after Revision, deliver func(Event)) error {
	create := watchCreate{Key: []byte(key), StartRevision: int64(after) + 1}
	response, err := g.send(ctx, "/v3/watch", watchRequest{Create: create})
	if err != nil {
		return errors.Newf("watch %s: %w", key, err)
	}
	defer func() { _ = response.Body.Close() }()
	decoder := json.NewDecoder(response.Body)
	for {
		var message watchResponse
		if err := decoder.Decode(&message); err != nil {
			return errors.Newf("watch %s: %w", key, err)
		}
		for _, event := range message.Result.Events {
			deliver(Event{Entry: event.KeyValue.entry(), Deleted: event.Type == "DELETE"})
		}
	}
}
