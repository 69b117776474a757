// Package tlsconf builds TLS configurations whose certificates are reloaded
// when their files change.
package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/settings"
)

// Error is the error type of this package.
type Error struct{ bamboorail.Failure }

func fail(op string, err error) error {
	return &Error{bamboorail.Failure{Op: op, Kind: bamboorail.KindBadRequest, Err: err}}
}

// checkInterval is the minimum time between checks of the certificate file.
const checkInterval = time.Second

// reloadingCertificate is a certificate that is reloaded when its file changes.
type reloadingCertificate struct {
	files settings.TLS

	mu       sync.Mutex
	current  *tls.Certificate
	modified time.Time
	checked  time.Time
}

// certificate returns the certificate that was last loaded successfully.
func (i *reloadingCertificate) certificate() (*tls.Certificate, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	if i.current != nil && now.Sub(i.checked) < checkInterval {
		return i.current, nil
	}
	i.checked = now
	info, err := os.Stat(i.files.Certificate)
	if err == nil && i.current != nil && info.ModTime().Equal(i.modified) {
		return i.current, nil
	}
	pair, loadErr := tls.LoadX509KeyPair(i.files.Certificate, i.files.Key)
	if loadErr != nil || err != nil {
		if i.current != nil {
			return i.current, nil
		}
		return nil, errors.Join(err, loadErr)
	}
	i.current, i.modified = &pair, info.ModTime()
	return i.current, nil
}

func loadAuthorities(path string) (*x509.CertPool, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fail("read-authorities", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fail("read-authorities", fmt.Errorf("file %q contains no PEM certificate", path))
	}
	return pool, nil
}

// Server returns the configuration of a listener, or nil if TLS is disabled. If
// authorities are set, clients must present a certificate signed by one of them.
func Server(t settings.TLS) (*tls.Config, error) {
	if t.Certificate == "" {
		return nil, nil
	}
	id := &reloadingCertificate{files: t}
	if _, err := id.certificate(); err != nil {
		return nil, fail("read-certificate", err)
	}
	pool, err := loadAuthorities(t.Authorities)
	if err != nil {
		return nil, err
	}
	c := &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return id.certificate() },
	}
	if pool != nil {
		c.ClientCAs, c.ClientAuth = pool, tls.RequireAndVerifyClientCert
	}
	return c, nil
}

// Client returns the configuration of outgoing connections, or nil if TLS is
// disabled.
func Client(t settings.TLS) (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	pool, err := loadAuthorities(t.Authorities)
	if err != nil {
		return nil, err
	}
	c := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	if t.Certificate != "" {
		id := &reloadingCertificate{files: t}
		if _, err := id.certificate(); err != nil {
			return nil, fail("read-certificate", err)
		}
		c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return id.certificate() }
	}
	return c, nil
}
