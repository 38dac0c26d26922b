package main

import (
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/turmerictide/turmerictide/internal/site"
)

// profilePath is the output file of profileIdle.
const profilePath = "idle.pprof.out"

// profileIdle records a CPU profile of one idle daemon in a site of 28 daemons.
func profileIdle(binaries string) error {
	s, stop, err := startSite(binaries, 28, 10)
	if err != nil {
		return err
	}
	defer stop()
	request, err := http.NewRequest(http.MethodGet, "http://"+s.Daemons[5].Operator.String()+"/debug/pprof/profile?seconds=20", nil)
	if err != nil {
		return errors.Newf("build request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+site.OperatorToken)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Newf("request profile: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	file, err := os.Create(profilePath)
	if err != nil {
		return errors.Newf("write profile: %w", err)
	}
	defer func() { _ = file.Close() }()
	if _, err := io.Copy(file, response.Body); err != nil {
		return errors.Newf("write profile: %w", err)
	}
	fmt.Println("profile written to", profilePath)
	return nil
}
