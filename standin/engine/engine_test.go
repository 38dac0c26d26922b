package engine_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/standin/engine"
)

func send(t *testing.T, url, token, fencing, body string) int {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(body)))
	require.NoError(t, err)
	request.Header.Set("X-Order-Token", token)
	request.Header.Set("X-Fencing-Number", fencing)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	return response.StatusCode
}

func TestOrdersAreChecked(t *testing.T) {
	const order = `{"kind":"load_model","argument":"m"}`
	strict := engine.NewEngine(engine.Config{ChecksFencing: true, OrderToken: "token"}, func() {})
	server := httptest.NewServer(strict.Handler())
	defer server.Close()
	url := server.URL + "/v1/orders"
	require.Equal(t, http.StatusForbidden, send(t, url, "", "5", order))
	require.Equal(t, http.StatusOK, send(t, url, "token", "5", order))
	require.Equal(t, http.StatusConflict, send(t, url, "token", "4", order))
	require.Equal(t, http.StatusBadRequest, send(t, url, "token", "6", `{"kind":"dance"}`))
	require.Equal(t, 1, strict.Counts().Orders)

	lax := engine.NewEngine(engine.Config{}, func() {})
	other := httptest.NewServer(lax.Handler())
	defer other.Close()
	require.Equal(t, http.StatusOK, send(t, other.URL+"/v1/orders", "", "5", order))
	require.Equal(t, http.StatusOK, send(t, other.URL+"/v1/orders", "", "4", order))
}

func TestCacheEventsComeWithGaps(t *testing.T) {
	e := engine.NewEngine(engine.Config{Places: 4, TokensPerSecond: 1e9, KVKeep: time.Minute}, func() {})
	server := httptest.NewServer(e.Handler())
	defer server.Close()
	for i := range 10 {
		content := fmt.Sprint(i, strings.Repeat("x", 2000))
		body := fmt.Sprintf(`{"messages":[{"role":"user","content":%q}],"kv_transfer_params":{"do_remote_decode":true}}`, content)
		require.Equal(t, http.StatusOK, send(t, server.URL+"/v1/chat/completions", "", "1", body))
	}
	response, err := http.Get(server.URL + "/v1/cache_events?after=2")
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	var events []struct{ Serial int }
	require.NoError(t, json.NewDecoder(response.Body).Decode(&events))
	var serials []int
	for _, event := range events {
		serials = append(serials, event.Serial)
	}
	require.Equal(t, []int{3, 4, 6, 7, 8, 9}, serials)
}
