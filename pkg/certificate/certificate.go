// Package certificate loads the TLS certificate of listeners. It reloads the certificate when
// its files change, so that a new certificate needs no restart.
package certificate

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
)

// checkInterval is the interval between checks of the files for changes.
const checkInterval = 5 * time.Second

// Keeper provides the current certificate and its key. It is safe for concurrent use.
type Keeper struct {
	certificatePath, keyPath string
	now                      func() time.Time
	log                      logr.Logger

	mu        sync.Mutex
	current   *tls.Certificate
	modTimes  [2]time.Time
	checkedAt time.Time
}

// Open reads a certificate and its key from PEM files. Errors name the files.
func Open(certificatePath, keyPath string, now func() time.Time, log logr.Logger) (*Keeper, error) {
	k := &Keeper{certificatePath: certificatePath, keyPath: keyPath, now: now, log: log}
	modTimes, err := k.readModTimes()
	if err != nil {
		return nil, err
	}
	if err := k.load(modTimes); err != nil {
		return nil, err
	}
	k.checkedAt = now()
	return k, nil
}

// Config returns the configuration of a listener that serves the current certificate.
func (k *Keeper) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return k.Certificate(k.now()), nil
		},
	}
}

// Certificate returns the current certificate. Every checkInterval it checks the files for
// changes, and reloads them if they have changed. If they cannot be loaded, the previous
// certificate stays active.
func (k *Keeper) Certificate(now time.Time) *tls.Certificate {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Sub(k.checkedAt) < checkInterval {
		return k.current
	}
	k.checkedAt = now
	modTimes, err := k.readModTimes()
	if err == nil && modTimes == k.modTimes {
		return k.current
	}
	if err == nil {
		err = k.load(modTimes)
	}
	if err != nil {
		k.log.Error(err, "cannot reload the certificate", "certificate", k.certificatePath)
		return k.current
	}
	k.log.Info("certificate was reloaded", "certificate", k.certificatePath, "valid_until", k.current.Leaf.NotAfter)
	return k.current
}

// readModTimes returns the modification time of each file.
func (k *Keeper) readModTimes() ([2]time.Time, error) {
	var result [2]time.Time
	for i, path := range []string{k.certificatePath, k.keyPath} {
		file, err := os.Stat(path)
		if err != nil {
			return result, errors.Newf("stat certificate file: %w", err)
		}
		result[i] = file.ModTime()
	}
	return result, nil
}

// load reads both files. They must belong together.
func (k *Keeper) load(modTimes [2]time.Time) error {
	pair, err := tls.LoadX509KeyPair(k.certificatePath, k.keyPath)
	if err != nil {
		return errors.Newf("read certificate %s and key %s: %w", k.certificatePath, k.keyPath, err)
	}
	k.current, k.modTimes = &pair, modTimes
	return nil
}
