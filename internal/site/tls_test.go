package site_test

import (
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/internal/selfsigned"
	"github.com/turmerictide/turmerictide/internal/site"
)

func TestDaemonWithACertificateSpeaksTLS(t *testing.T) {
	s := startSite(t, site.Config{DaemonsPerZone: 1, Zones: []string{"shubra"}})
	directory := t.TempDir()
	certificate, key := filepath.Join(directory, "tls.crt"), filepath.Join(directory, "tls.key")
	require.NoError(t, selfsigned.Write(certificate, key, site.HostAddress(), 1, time.Now()))
	d, err := s.StartDaemon("entry-tls", "shubra")
	require.NoError(t, err)
	d.Kill()
	path := filepath.Join(s.Config.Directory, d.Name+".ini")
	file, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(t, err)
	_, err = file.WriteString("\n[tls]\ncertificate_file = " + certificate + "\nkey_file = " + key + "\n")
	require.NoError(t, err)
	require.NoError(t, file.Close())
	require.NoError(t, d.Start())
	require.NoError(t, site.WaitForPort(d.Operator, settleTimeout))

	list := func(arguments ...string) (string, error) {
		arguments = append(arguments, "--token", site.OperatorToken, "--operator", d.Operator.String(), "ticket", "list")
		output, err := exec.Command(filepath.Join(binaries, "turmerictide"), arguments...).CombinedOutput()
		return string(output), err
	}
	output, err := list("--ca", certificate)
	require.NoError(t, err, output)
	require.Contains(t, output, "entry-tls")
	_, err = list()
	require.Error(t, err, "the TLS listener must not serve plain HTTP")
	response, err := http.Get("http://" + d.Address.String() + "/readyz")
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	require.Equal(t, http.StatusBadRequest, response.StatusCode)
}
