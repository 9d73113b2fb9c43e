package stager

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"kumquatstall/configurer"
	"kumquatstall/requester"
	"kumquatstall/runner"
)

// writeCertificate writes a self-signed certificate for 127.0.0.1 and its key to
// files, and returns the settings that name them.
func writeCertificate(t *testing.T) configurer.TLS {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "entries"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	private, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	files := configurer.TLS{
		Certificate: filepath.Join(t.TempDir(), "certificate.pem"),
		PrivateKey:  filepath.Join(t.TempDir(), "key.pem"),
	}
	is.NoErr(os.WriteFile(files.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate}), 0o600))
	is.NoErr(os.WriteFile(files.PrivateKey, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: private}), 0o600))
	return files
}

// TestLinks checks that entries establish links over TLS with a shared link key,
// and that an entry with another key gets no link although its peers list it.
func TestLinks(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	d := deploymentWithoutEntries()
	t.Cleanup(d.Close)
	is.NoErr(d.start())
	files := writeCertificate(t)
	start := func(id requester.EntryID, key string) *runner.Entry {
		settings := d.Settings(d.Plan.Sites[0].Name, id)
		settings.LinkKey = key
		settings.TLS = files
		entry, err := runner.Start(settings, zerolog.New(io.Discard))
		is.NoErr(err)
		d.Entries = append(d.Entries, entry)
		return entry
	}
	const shared = "000102030405060708090a0b0c0d0e0f"
	first := start("first", shared)
	second := start("second", shared)
	is.NoErr(d.Await(ctx, "links between entries with the same key", func() bool { return linked(first, 1) && linked(second, 1) }))
	untrusted := start("stranger", "ff0102030405060708090a0b0c0d0e0f")
	is.NoErr(d.Await(ctx, "entry with another key listed by its peers", func() bool { return len(first.View().Peers) == 2 && len(untrusted.View().Peers) == 2 }))
	is.True(linked(untrusted, 0)) // no entry accepts a link from it
	is.True(linked(first, 1))
}
