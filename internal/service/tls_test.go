package service_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bamboorail.example/bamboorail/internal/settings"
	standplatform "bamboorail.example/bamboorail/internal/stand/platform"
	"bamboorail.example/bamboorail/internal/tlsconf"
)

// authority is a certificate authority for loopback addresses.
type authority struct {
	t    *testing.T
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	a := &authority{t: t, dir: t.TempDir(), key: key}
	a.cert = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	a.write("authority.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) write(name, kind string, der []byte) string {
	a.t.Helper()
	path := filepath.Join(a.dir, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return path
}

// identity writes a certificate for loopback with the given serial number, and
// its key.
func (a *authority) identity(name string, serial int64) settings.TLS {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	cert := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	return settings.TLS{
		Certificate: a.write(name+".pem", "CERTIFICATE", der), Key: a.write(name+".key", "EC PRIVATE KEY", keyDER),
		Authorities: filepath.Join(a.dir, "authority.pem"),
	}
}

func TestMutualTLSAndCertificateReload(t *testing.T) {
	t.Parallel()
	ca := newAuthority(t)
	id := ca.identity("node", 10)
	b := newTestbed(t)
	// The platform requires client certificates.
	server := standplatform.New(standplatform.Options{WritesPerSecond: 1000}, prometheus.NewRegistry())
	mutual, err := tlsconf.Server(id)
	if err != nil {
		t.Fatal(err)
	}
	l, err := tls.Listen("tcp", "127.0.0.1:0", mutual)
	if err != nil {
		t.Fatal(err)
	}
	secure := &http.Server{Handler: server.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = secure.Serve(l) }()
	t.Cleanup(func() { _ = secure.Close() })
	callers := id
	callers.Authorities = "" // callers authenticate by token
	options := func(s *settings.Entry) {
		s.PlatformURL, s.PlatformTLS, s.PeerTLS, s.CallerTLS, s.OperatorTLS = "https://"+l.Addr().String(), id, id, callers, callers
	}
	n, other := b.start("a1", "sala-a", options), b.start("a2", "sala-a", options)
	serial := func(n *runningInstance) int64 {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: clientTLS(t, id)}}
		resp, err := client.Get("https://" + n.instance.CallerAddress() + "/readyz")
		if err != nil {
			return 0
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return 0
		}
		return resp.TLS.PeerCertificates[0].SerialNumber.Int64()
	}
	for _, x := range []*runningInstance{n, other} {
		b.await("ready over TLS", func() bool { return serial(x) == 10 })
	}
	if _, err := tls.Dial("tcp", n.instance.PeerAddress(), &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS12}); err == nil {
		// A TLS 1.3 client sees the rejection of its certificate only on the
		// first read.
		conn, _ := tls.Dial("tcp", n.instance.PeerAddress(), &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS12})
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Error("a peer without a certificate was accepted")
		}
	}
	if resp, err := http.Get("http://" + n.instance.CallerAddress() + "/readyz"); err == nil && resp.StatusCode == http.StatusOK {
		t.Error("a caller without TLS was accepted")
	}
	ca.identity("node", 11)
	b.await("the new certificate", func() bool { return serial(n) == 11 })
}

func clientTLS(t *testing.T, id settings.TLS) *tls.Config {
	t.Helper()
	c, err := tlsconf.Client(settings.TLS{Authorities: id.Authorities})
	if err != nil {
		t.Fatal(err)
	}
	return c
}
