package certificate_test

import (
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/internal/selfsigned"
	"github.com/turmerictide/turmerictide/pkg/certificate"
)

var start = time.Unix(1_800_000_000, 0)

// certificateFiles are the paths of a certificate and its key.
type certificateFiles struct {
	certificate, key string
}

func newFiles(t *testing.T) certificateFiles {
	t.Helper()
	directory := t.TempDir()
	return certificateFiles{filepath.Join(directory, "tls.crt"), filepath.Join(directory, "tls.key")}
}

func (f certificateFiles) write(t *testing.T, serial int64, modTime time.Time) {
	t.Helper()
	require.NoError(t, selfsigned.Write(f.certificate, f.key, netip.MustParseAddr("127.0.0.1"), serial, start))
	require.NoError(t, os.Chtimes(f.certificate, modTime, modTime))
	require.NoError(t, os.Chtimes(f.key, modTime, modTime))
}

func (f certificateFiles) writeFile(t *testing.T, path string, content []byte, modTime time.Time) {
	t.Helper()
	require.NoError(t, os.WriteFile(path, content, 0o600))
	require.NoError(t, os.Chtimes(path, modTime, modTime))
}

func serial(k *certificate.Keeper, at time.Time) int64 {
	return k.Certificate(at).Leaf.SerialNumber.Int64()
}

func TestNewCertificateIsServedWithoutRestart(t *testing.T) {
	f := newFiles(t)
	f.write(t, 1, start)
	k, err := certificate.Open(f.certificate, f.key, func() time.Time { return start }, logr.Discard())
	require.NoError(t, err)
	f.write(t, 2, start.Add(time.Minute))
	require.Equal(t, int64(1), serial(k, start.Add(time.Second)), "the files are not checked for each connection")
	require.Equal(t, int64(2), serial(k, start.Add(time.Minute)))
}

func TestInvalidNewPairKeepsOldCertificate(t *testing.T) {
	f := newFiles(t)
	f.write(t, 1, start)
	k, err := certificate.Open(f.certificate, f.key, func() time.Time { return start }, logr.Discard())
	require.NoError(t, err)
	f.writeFile(t, f.key, []byte("not a key"), start.Add(time.Minute))
	require.Equal(t, int64(1), serial(k, start.Add(time.Minute)))
	require.NoError(t, os.Remove(f.certificate))
	require.Equal(t, int64(1), serial(k, start.Add(2*time.Minute)))
	f.write(t, 3, start.Add(3*time.Minute))
	require.Equal(t, int64(3), serial(k, start.Add(3*time.Minute)))
}

func TestOpenRejectsInvalidFiles(t *testing.T) {
	f := newFiles(t)
	_, err := certificate.Open(f.certificate, f.key, time.Now, logr.Discard())
	require.ErrorContains(t, err, f.certificate)
	f.write(t, 1, start)
	f.writeFile(t, f.key, []byte("not a key"), start)
	_, err = certificate.Open(f.certificate, f.key, time.Now, logr.Discard())
	require.ErrorContains(t, err, f.key)
}
