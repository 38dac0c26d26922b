package command

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net/http"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/turmerictide/turmerictide/pkg/operator"
	"github.com/turmerictide/turmerictide/pkg/store"
)

// openStore returns a client of the store at the URLs of the flags.
func openStore(c *cli.Command) (*store.Store, error) {
	urls := c.Root().StringSlice("store")
	if len(urls) == 0 {
		return nil, errors.New("--store is needed")
	}
	return store.NewGatewayStore(urls, c.Root().Duration("timeout")), nil
}

// operatorAddresses returns the addresses of the operator listeners from the flags.
func operatorAddresses(c *cli.Command) ([]string, error) {
	addresses := c.Root().StringSlice("operator")
	if len(addresses) == 0 {
		return nil, errors.New("--operator is needed")
	}
	return addresses, nil
}

// newHTTPClient returns a client and the URL scheme for the daemons' listeners. It uses TLS
// if the flags name a file with CA certificates.
func newHTTPClient(c *cli.Command) (client *http.Client, scheme string, err error) {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnectionLimit}
	path := c.Root().String("ca")
	if path == "" {
		return &http.Client{Transport: transport}, "http", nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, "", errors.Newf("read certificates: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(content) {
		return nil, "", errors.Newf("%s contains no certificate", path)
	}
	transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return &http.Client{Transport: transport}, "https", nil
}

// idleConnectionLimit limits the idle connections to one daemon.
const idleConnectionLimit = 256

// maxResponseBytes limits a response of an operator listener.
const maxResponseBytes = 64 << 20

// fetch decodes a JSON value from an operator listener into value.
func fetch(ctx context.Context, c *cli.Command, address, path string, value any) error {
	ctx, cancel := context.WithTimeout(ctx, c.Root().Duration("timeout"))
	defer cancel()
	client, scheme, err := newHTTPClient(c)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, scheme+"://"+address+path, nil)
	if err != nil {
		return errors.Newf("build request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+c.Root().String("token"))
	response, err := client.Do(request)
	if err != nil {
		return errors.Newf("request %s: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("request %s: status %d", address, response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(value); err != nil {
		return errors.Newf("decode response of %s: %w", address, err)
	}
	return nil
}

// fetchStatuses reads the status of each daemon that the flags name.
func fetchStatuses(ctx context.Context, c *cli.Command) ([]operator.Status, error) {
	addresses, err := operatorAddresses(c)
	if err != nil {
		return nil, err
	}
	var result []operator.Status
	for _, address := range addresses {
		var status operator.Status
		if err := fetch(ctx, c, address, operator.PathStatus, &status); err != nil {
			return nil, err
		}
		result = append(result, status)
	}
	return result, nil
}

// fetchStateView reads the operators' state from the first daemon that the flags name.
func fetchStateView(ctx context.Context, c *cli.Command) (operator.StateView, error) {
	addresses, err := operatorAddresses(c)
	if err != nil {
		return operator.StateView{}, err
	}
	var view operator.StateView
	err = fetch(ctx, c, addresses[0], operator.PathState, &view)
	return view, err
}
