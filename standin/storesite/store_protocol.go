package storesite

import (
	"encoding/json"
	"net/http"
	"time"
)

type keyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string"`
}

type header struct {
	Revision int64 `json:"revision,string"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

type rangeResponse struct {
	Header    header     `json:"header"`
	KeyValues []keyValue `json:"kvs,omitempty"`
}

type transactionRequest struct {
	Compare []struct {
		Key         []byte `json:"key"`
		ModRevision int64  `json:"mod_revision,string"`
	} `json:"compare"`
	Success []operation `json:"success"`
	Failure []operation `json:"failure"`
}

type operation struct {
	Put *struct {
		Key   []byte `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease,string"`
	} `json:"request_put"`
	Range  *rangeRequest `json:"request_range"`
	Delete *rangeRequest `json:"request_delete_range"`
}

type operationResponse struct {
	Range *rangeResponse `json:"response_range,omitempty"`
}

type transactionResponse struct {
	Header    header              `json:"header"`
	Succeeded bool                `json:"succeeded,omitempty"`
	Responses []operationResponse `json:"responses,omitempty"`
}

type watchRequest struct {
	Create struct {
		Key           []byte `json:"key"`
		StartRevision int64  `json:"start_revision,string"`
	} `json:"create_request"`
}

type watchEvent struct {
	Type     string   `json:"type,omitempty"`
	KeyValue keyValue `json:"kv"`
}

type watchResult struct {
	Header header       `json:"header"`
	Events []watchEvent `json:"events,omitempty"`
}

type watchResponse struct {
	Result watchResult `json:"result"`
}

func decodeBody(w http.ResponseWriter, r *http.Request, message any) bool {
	if err := json.NewDecoder(r.Body).Decode(message); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	var request rangeRequest
	if !decodeBody(w, r, &request) {
		return
	}
	s.mu.Lock()
	s.counts.Reads++
	s.expireLeases()
	response := s.readRange(request)
	s.mu.Unlock()
	writeJSON(w, response)
}

// readRange returns the records of one range. s.mu must be held.
func (s *Store) readRange(request rangeRequest) rangeResponse {
	response := rangeResponse{Header: header{Revision: s.revision}}
	for _, key := range s.findKeys(string(request.Key), string(request.RangeEnd)) {
		rec := s.records[key]
		response.KeyValues = append(response.KeyValues, keyValue{
			Key: []byte(key), Value: rec.Value, ModRevision: rec.ModRevision,
		})
	}
	return response
}

func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var request transactionRequest
	if !decodeBody(w, r, &request) {
		return
	}
	s.mu.Lock()
	s.counts.Writes++
	s.expireLeases()
	response := s.runTransaction(request)
	dropResponse := s.switches.DropResponses > 0
	if dropResponse {
		s.switches.DropResponses--
	}
	s.mu.Unlock()
	if dropResponse {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, response)
}

// runTransaction runs one transaction. s.mu must be held.
func (s *Store) runTransaction(request transactionRequest) transactionResponse {
	for _, compare := range request.Compare {
		if s.records[string(compare.Key)].ModRevision != compare.ModRevision {
			return s.applyOperations(request.Failure, false)
		}
	}
	return s.applyOperations(request.Success, true)
}

// applyOperations applies operations at one new revision. s.mu must be held.
func (s *Store) applyOperations(operations []operation, succeeded bool) transactionResponse {
	next := s.revision + 1
	written := false
	var responses []operationResponse
	for _, op := range operations {
		switch {
		case op.Put != nil:
			key := string(op.Put.Key)
			s.counts.LargestValue = max(s.counts.LargestValue, len(op.Put.Value))
			s.records[key] = record{Value: op.Put.Value, ModRevision: next, Lease: op.Put.Lease}
			s.history = append(s.history, event{Revision: next, Key: key, Value: op.Put.Value})
			written = true
			responses = append(responses, operationResponse{})
		case op.Range != nil:
			response := s.readRange(*op.Range)
			responses = append(responses, operationResponse{Range: &response})
		case op.Delete != nil:
			key := string(op.Delete.Key)
			delete(s.records, key)
			s.history = append(s.history, event{Revision: next, Key: key, Deleted: true})
			written = true
			responses = append(responses, operationResponse{})
		}
	}
	if written {
		s.revision = next
		s.notifyWatches()
	}
	return transactionResponse{Header: header{Revision: s.revision}, Succeeded: succeeded, Responses: responses}
}

func (s *Store) serveLeaseGrant(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Seconds int64 `json:"TTL,string"`
	}
	if !decodeBody(w, r, &request) {
		return
	}
	s.mu.Lock()
	s.counts.Writes++
	id := int64(len(s.leases)) + s.revision<<20
	s.leases[id] = s.now().Add(time.Duration(request.Seconds) * time.Second)
	s.revision++
	s.mu.Unlock()
	writeJSON(w, struct {
		ID      int64 `json:"ID,string"`
		Seconds int64 `json:"TTL,string"`
	}{ID: id, Seconds: request.Seconds})
}

// serveWatch streams the changes of one key.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	var request watchRequest
	if !decodeBody(w, r, &request) {
		return
	}
	s.mu.Lock()
	s.counts.Watches++
	s.mu.Unlock()
	flusher := w.(http.Flusher)
	writeJSON(w, watchResponse{})
	flusher.Flush()
	key := string(request.Create.Key)
	from := request.Create.StartRevision
	for {
		s.mu.Lock()
		events, next := s.eventsSince(key, from)
		changed := s.changed
		outage := s.switches.Outage
		s.mu.Unlock()
		if outage {
			panic(http.ErrAbortHandler)
		}
		from = next
		if len(events) > 0 {
			writeJSON(w, watchResponse{Result: watchResult{Events: events}})
			flusher.Flush()
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		}
	}
}

// eventsSince returns the events of a key from a revision, and the next revision to read from.
// s.mu must be held.
func (s *Store) eventsSince(key string, from int64) ([]watchEvent, int64) {
	var events []watchEvent
	for _, ev := range s.history {
		if ev.Revision < from || ev.Key != key {
			continue
		}
		kind := ""
		if ev.Deleted {
			kind = "DELETE"
		}
		events = append(events, watchEvent{
			Type:     kind,
			KeyValue: keyValue{Key: []byte(ev.Key), Value: ev.Value, ModRevision: ev.Revision},
		})
	}
	return events, max(from, s.revision+1)
}
