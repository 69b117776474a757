package relay

import (
	"net/http"
	"testing"

	"bamboorail.example/bamboorail"
)

func TestFingerprint(t *testing.T) {
	request := func(method, host, uri, credentials string) *http.Request {
		return &http.Request{Method: method, Host: host, RequestURI: uri, Header: http.Header{"Authorization": {credentials}, "Bamboorail-Request-Id": {host + uri}}}
	}
	first := fingerprint(request(http.MethodPost, "h", "/a/b?c", "k"), &bamboorail.Call{}, []byte("body"))
	cases := map[string]struct {
		request *http.Request
		body    string
		same    bool
	}{
		"repeated":             {&http.Request{Method: http.MethodPost, Host: "h", RequestURI: "/a/b?c", Header: http.Header{"Authorization": {"k"}, "Bamboorail-Request-Id": {"2"}}}, "body", true},
		"other method":         {request(http.MethodPut, "h", "/a/b?c", "k"), "body", false},
		"other host":           {request(http.MethodPost, "h2", "/a/b?c", "k"), "body", false},
		"other path":           {request(http.MethodPost, "h", "/a/b", "k"), "body", false},
		"other query":          {request(http.MethodPost, "h", "/a/b?d", "k"), "body", false},
		"other credentials":    {request(http.MethodPost, "h", "/a/b?c", "l"), "body", false},
		"other body":           {request(http.MethodPost, "h", "/a/b?c", "k"), "body2", false},
		"fields run together":  {request(http.MethodPost, "h/", "a/b?c", "k"), "body", false},
		"body in another part": {request(http.MethodPost, "h", "/a/b?c", "kb"), "ody", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := fingerprint(c.request, &bamboorail.Call{}, []byte(c.body)); (got == first) != c.same {
				t.Errorf("fingerprint %s beside %s", got, first)
			}
		})
	}
}
