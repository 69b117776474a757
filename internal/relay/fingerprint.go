package relay

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"

	"bamboorail.example/bamboorail"
)

// fingerprintBytes is the length of a fingerprint.
const fingerprintBytes = 8

// fingerprint returns a digest of what a repeated call has in common with the first
// one: host, method, path, query, credentials and body. It is a cryptographic one, so
// that no caller can have the requests of another one blocked.
func fingerprint(r *http.Request, c *bamboorail.Call, body []byte) string {
	d := sha256.New()
	caller := r.Header.Get("Authorization")
	if c.Authenticated {
		// A forwarded call has no credentials.
		caller = c.Workspace
	}
	for _, field := range []string{r.Host, r.Method, r.RequestURI, caller} {
		// Lengths keep the fields apart. A hash returns no error.
		_, _ = io.WriteString(d, strconv.Itoa(len(field))+":"+field)
	}
	_, _ = d.Write(body)
	return hex.EncodeToString(d.Sum(nil)[:fingerprintBytes])
}
