package site_test

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/internal/site"
	"github.com/turmerictide/turmerictide/pkg/operator"
	"github.com/turmerictide/turmerictide/pkg/ticket"
	"github.com/turmerictide/turmerictide/standin/engine"
)

var binaries string

// TestMain builds the programs once, with the race detector.
func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "turmerictide-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	binaries = directory
	build := exec.Command("go", "build", "-race", "-o", directory+string(filepath.Separator), "../../cmd/...")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, string(output))
		return 1
	}
	return m.Run()
}

// settleTimeout limits the wait for an expected condition. It is long because the machine
// may be busy. No test measures this time.
const settleTimeout = 40 * time.Second

// startSite starts a site and waits until ticket 1 is active on all daemons.
func startSite(t *testing.T, config site.Config) *site.Site {
	t.Helper()
	config.Binaries = binaries
	config.Directory = t.TempDir()
	if config.Zones == nil {
		config.Zones = []string{"shubra", "maadi"}
	}
	if config.DaemonsPerZone == 0 {
		config.DaemonsPerZone = 2
	}
	if config.DecodePerZone == 0 {
		config.DecodePerZone = 2
	}
	s, err := site.Start(config)
	require.NoError(t, err)
	t.Cleanup(func() {
		s.Close()
		for _, d := range s.Daemons {
			require.NotContains(t, d.Log(), "DATA RACE", d.Name)
			require.NotContains(t, d.Log(), "panic:", d.Name)
			if t.Failed() {
				t.Logf("log of %s:\n%s", d.Name, d.Log())
			}
		}
	})
	applyTicket(t, s, s.Ticket(1), 0)
	for _, d := range s.Daemons {
		require.NoError(t, site.WaitForURL("http://"+d.Address.String()+"/readyz", settleTimeout))
	}
	eventually(t, "all daemons list each other as alive", func() bool {
		for _, d := range s.Daemons {
			if len(aliveHosts(t, d)) != len(s.Daemons) {
				return false
			}
		}
		return true
	})
	return s
}

func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(settleTimeout)
	for !condition() {
		require.True(t, time.Now().Before(deadline), "not in time: %s", description)
		time.Sleep(50 * time.Millisecond)
	}
}

// applyTicket applies a ticket with the command line tool and checks its exit code.
func applyTicket(t *testing.T, s *site.Site, change ticket.Ticket, exitCode int) {
	t.Helper()
	path, err := s.WriteTicket(change)
	require.NoError(t, err)
	command := exec.Command(filepath.Join(binaries, "turmerictide"), "--store", "http://"+s.Store.Address.String(), "ticket", "apply", path)
	output, _ := command.CombinedOutput()
	require.Equal(t, exitCode, command.ProcessState.ExitCode(), string(output))
}

func statusOf(t *testing.T, d *site.Process) (operator.Status, error) {
	t.Helper()
	var status operator.Status
	request, err := http.NewRequest(http.MethodGet, "http://"+d.Operator.String()+operator.PathStatus, nil)
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+site.OperatorToken)
	client := &http.Client{Timeout: 5 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return status, err
	}
	defer func() { _ = response.Body.Close() }()
	return status, json.NewDecoder(response.Body).Decode(&status)
}

func aliveHosts(t *testing.T, d *site.Process) []string {
	t.Helper()
	status, err := statusOf(t, d)
	if err != nil {
		return nil
	}
	var alive []string
	for _, host := range status.Hosts {
		if host.State == "alive" {
			alive = append(alive, host.Host)
		}
	}
	return alive
}

// ownerOf returns the daemon that owns the model shard of a zone.
func ownerOf(t *testing.T, s *site.Site, zone string) *site.Process {
	t.Helper()
	for _, d := range s.Daemons {
		status, err := statusOf(t, d)
		if err != nil {
			continue
		}
		for _, shard := range status.Shards {
			if shard.Owned && shard.Shard == site.ModelService+"/"+zone+"/0" {
				return d
			}
		}
	}
	return nil
}

// callResult is what a caller received.
type callResult struct {
	status     int
	code       string
	outcome    string
	retryAfter string
	words      []string
	// complete is true when the closing event of a stream, or a complete JSON response,
	// was received.
	complete bool
	body     string
	err      error
}

type callOptions struct {
	token string
	rank  string
	key   string
	// method is the method, or "" for POST.
	method string
	// onToken is called after each token of a stream with the number of tokens so far.
	onToken func(count int)
}

func newRequest(ctx context.Context, t *testing.T, method, url, body string, options callOptions) *http.Request {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	require.NoError(t, err)
	token := options.token
	if token == "" {
		token = site.CallerToken
	}
	request.Header.Set("Authorization", "Bearer "+token)
	request.Header.Set("Content-Type", "application/json")
	if options.rank != "" {
		request.Header.Set("X-Rank", options.rank)
	}
	if options.key != "" {
		request.Header.Set("Idempotency-Key", options.key)
	}
	return request
}

// post sends one request, by default a POST, on a new connection.
func post(ctx context.Context, t *testing.T, url, body string, options callOptions) callResult {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(newRequest(ctx, t, cmp.Or(options.method, http.MethodPost), url, body, options))
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	result := callResult{status: response.StatusCode, outcome: response.Header.Get("X-Outcome"), retryAfter: response.Header.Get("Retry-After")}
	if response.Header.Get("Content-Type") == "text/event-stream" {
		result.readStream(response, options.onToken)
		return result
	}
	var buffer bytes.Buffer
	_, result.err = buffer.ReadFrom(response.Body)
	result.body = buffer.String()
	result.readBody(result.err == nil)
	return result
}

// chatResponse is an event of a stream, a complete JSON response, or an error.
type chatResponse struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
}

func (r *callResult) readStream(response *http.Response, onToken func(int)) {
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.complete = true
			continue
		}
		var parsed chatResponse
		if r.err = json.Unmarshal([]byte(data), &parsed); r.err != nil {
			return
		}
		if parsed.Error.Code != "" {
			r.code = parsed.Error.Code
			continue
		}
		if parsed.Choices[0].Delta.Content != "" {
			r.words = append(r.words, parsed.Choices[0].Delta.Content)
			if onToken != nil {
				onToken(len(r.words))
			}
		}
	}
	r.err = scanner.Err()
}

func (r *callResult) readBody(complete bool) {
	var parsed chatResponse
	if json.Unmarshal([]byte(r.body), &parsed) != nil {
		return
	}
	r.code = parsed.Error.Code
	if len(parsed.Choices) == 1 {
		words := strings.SplitAfter(parsed.Choices[0].Message.Content, " ")
		r.words = words[:len(words)-1]
		r.complete = complete
	}
}

func chatBody(prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, site.Model, stream, tokens, prompt)
}

func chatURL(d *site.Process) string {
	return "http://" + d.Address.String() + "/v1/chat/completions"
}

func reservationsURL(d *site.Process) string {
	return "http://" + d.Address.String() + "/services/" + site.PlainService + "/reservations"
}

// requireComplete checks that the caller received every token of the prompt's output exactly
// once and in order.
func requireComplete(t *testing.T, got callResult, prompt string, tokens int) {
	t.Helper()
	require.NoError(t, got.err)
	require.True(t, got.complete, "the response is not complete: status %d code %q, %d tokens", got.status, got.code, len(got.words))
	require.Equal(t, engine.Words(prompt, tokens), got.words)
}

// countsOf returns the totals of an engine and its current load.
func countsOf(t *testing.T, p *site.Process) engine.Counts {
	t.Helper()
	var counts engine.Counts
	control(t, http.MethodGet, p, "counts", nil, &counts)
	return counts
}

// control sends a request to a control route of a stand-in.
func control(t *testing.T, method string, p *site.Process, route string, message, result any) {
	t.Helper()
	encoded, err := json.Marshal(message)
	require.NoError(t, err)
	request, err := http.NewRequest(method, "http://"+p.Address.String()+"/control/"+route, bytes.NewReader(encoded))
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	require.Equal(t, http.StatusOK, response.StatusCode)
	if result != nil {
		require.NoError(t, json.NewDecoder(response.Body).Decode(result))
	}
}

// requireIdle waits until no engine runs a request or keeps an export, and no shard has held
// or queued requests.
func requireIdle(t *testing.T, s *site.Site) {
	t.Helper()
	eventually(t, "engines and shards hold no resources", func() bool {
		for _, p := range s.Endpoints {
			if p.Role == ticket.RolePlain || hasExited(p) {
				continue
			}
			if counts := countsOf(t, p); counts.Running > 0 || counts.Exports > 0 {
				return false
			}
		}
		for _, d := range s.Daemons {
			if hasExited(d) {
				continue
			}
			status, err := statusOf(t, d)
			if err != nil {
				return false
			}
			for _, shard := range status.Shards {
				if shard.Held > 0 || shard.Queued > 0 {
					return false
				}
			}
		}
		return true
	})
}

func hasExited(p *site.Process) bool {
	select {
	case <-p.Exited():
		return true
	default:
		return false
	}
}

// runningEngine returns a decode engine that runs a request, or nil.
func runningEngine(t *testing.T, s *site.Site) *site.Process {
	t.Helper()
	for _, p := range s.Endpoints {
		if p.Role == ticket.RoleDecode && !hasExited(p) && countsOf(t, p).Running > 0 {
			return p
		}
	}
	return nil
}

// plainRuns returns how often the plain services executed each idempotency key, in total.
func plainRuns(t *testing.T, s *site.Site) map[string]int {
	t.Helper()
	total := map[string]int{}
	for _, p := range s.Endpoints {
		if p.Role != ticket.RolePlain || hasExited(p) {
			continue
		}
		var runs map[string]int
		control(t, http.MethodGet, p, "runs", nil, &runs)
		for key, count := range runs {
			total[key] += count
		}
	}
	return total
}
