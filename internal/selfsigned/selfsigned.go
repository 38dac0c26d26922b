// Package selfsigned creates self-signed certificates for tests.
package selfsigned

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// validity is how long before and after its creation a certificate is valid.
const validity = time.Hour

// Write creates a certificate for an address and its key, and writes both as PEM files.
func Write(certificatePath, keyPath string, address netip.Addr, serial int64, now time.Time) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Newf("generate key: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "entry"}, IPAddresses: []net.IP{address.AsSlice()},
		NotBefore: now.Add(-validity), NotAfter: now.Add(validity), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	body, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return errors.Newf("create certificate: %w", err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return errors.Newf("encode key: %w", err)
	}
	if err := os.WriteFile(certificatePath, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: body}), 0o600); err != nil {
		return errors.Newf("write certificate: %w", err)
	}
	if err := os.WriteFile(keyPath, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: private}), 0o600); err != nil {
		return errors.Newf("write key: %w", err)
	}
	return nil
}
