package relay

import (
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// fingerprint returns a digest of what a repeated call has in common with the first
// one: host, method, path, query, credentials and body.
func fingerprint(r *http.Request, body []byte) string {
	d := xxhash.New()
	for _, field := range []string{r.Host, r.Method, r.RequestURI, r.Header.Get("Authorization")} {
		// Lengths keep the fields apart.
		_, _ = d.WriteString(strconv.Itoa(len(field)) + ":" + field)
	}
	_, _ = d.Write(body)
	return strconv.FormatUint(d.Sum64(), 16)
}
