// Command demo starts a site on loopback with three availability zones and two daemons in
// each. It applies a ticket and sends a chat request and a booking. It prints the
// responses, a status table and the trace of the chat request. The exit code is 0 only if
// all responses were complete.
package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmerictide/turmerictide/internal/site"
)

func main() {
	if err := run(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
	fmt.Println("demo passed: all responses were complete")
}

func run(binaries string) error {
	directory, err := os.MkdirTemp("", "turmerictide-demo-")
	if err != nil {
		return errors.Newf("create directory: %w", err)
	}
	defer func() { _ = os.RemoveAll(directory) }()
	fmt.Println("== starting the stand-ins and six daemons")
	s, err := site.Start(site.Config{
		Binaries: binaries, Directory: directory, Zones: []string{"shubra", "maadi", "nasr-city"},
		DaemonsPerZone: 2, DecodePerZone: 2,
	})
	if err != nil {
		return err
	}
	defer s.Close()
	if err := applyTicket(s, binaries); err != nil {
		return err
	}
	if err := sendChat(s); err != nil {
		return err
	}
	if err := sendBookings(s); err != nil {
		return err
	}
	if err := printStatus(s, binaries); err != nil {
		return err
	}
	return printTrace(s)
}

func applyTicket(s *site.Site, binaries string) error {
	path, err := s.WriteTicket(s.Ticket(1))
	if err != nil {
		return err
	}
	fmt.Println("== applying ticket 1")
	if err := runTool(binaries, "--store", "http://"+s.Store.Address.String(), "ticket", "apply", path); err != nil {
		return err
	}
	started := time.Now()
	for _, d := range s.Daemons {
		if err := site.WaitForURL("http://"+d.Address.String()+"/readyz", 16*time.Second); err != nil {
			return err
		}
	}
	fmt.Printf("active on all daemons after %s\n", time.Since(started).Round(time.Millisecond))
	return nil
}

func runTool(binaries string, arguments ...string) error {
	command := exec.Command(filepath.Join(binaries, "turmerictide"), arguments...)
	command.Stdout, command.Stderr = os.Stdout, os.Stderr
	if err := command.Run(); err != nil {
		return errors.Newf("run turmerictide: %w", err)
	}
	return nil
}

func post(url, key, body string) (*http.Response, string, error) {
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, "", err
	}
	request.Header.Set("Authorization", "Bearer "+site.CallerToken)
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response, string(content), err
}

func sendChat(s *site.Site) error {
	fmt.Println("== chat request, streamed")
	body := `{"model":"` + site.Model + `","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"Plan the lane closure at the ring road."}]}`
	response, content, err := post("http://"+s.Daemons[0].Address.String()+"/v1/chat/completions", "", body)
	if err != nil {
		return errors.Newf("send chat request: %w", err)
	}
	fmt.Print(content)
	if response.StatusCode != http.StatusOK || !strings.HasSuffix(content, "data: [DONE]\n\n") || strings.Count(content, `"content":`) != 12 {
		return errors.Newf("chat response is not complete, status %d", response.StatusCode)
	}
	return nil
}

func sendBookings(s *site.Site) error {
	url := "http://" + s.Daemons[0].Address.String() + "/services/" + site.PlainService + "/reservations"
	for _, title := range []string{"booking", "the same booking again"} {
		fmt.Println("==", title)
		response, content, err := post(url, "demo-1", `{"cones":120}`)
		if err != nil {
			return errors.Newf("send booking: %w", err)
		}
		fmt.Printf("%d %s", response.StatusCode, content)
		if response.StatusCode != http.StatusCreated {
			return errors.Newf("booking failed, status %d", response.StatusCode)
		}
		time.Sleep(300 * time.Millisecond)
	}
	return nil
}

func printStatus(s *site.Site, binaries string) error {
	fmt.Println("== status")
	arguments := []string{"--token", site.OperatorToken}
	for _, d := range s.Daemons {
		arguments = append(arguments, "--operator", d.Operator.String())
	}
	return runTool(binaries, append(arguments, "shard", "list")...)
}
