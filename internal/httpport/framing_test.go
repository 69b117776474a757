package httpport

import "testing"

// TestFramingStatedMoreThanOnce guards against heads whose second statement of the framing is
// overlooked, wherever the connection divides them, and against sound answers that are
// rejected for what their bodies or informational heads contain.
func TestFramingStatedMoreThanOnce(t *testing.T) {
	t.Parallel()
	const (
		length = "Content-Length: 3\r\n"
		chunks = "transfer-encoding: chunked\r\n"
		hint   = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n"
	)
	tests := map[string]struct {
		answer    string
		ambiguous bool
	}{
		"length":                    {"HTTP/1.1 200 OK\r\n" + length + "\r\nabc", false},
		"chunks":                    {"HTTP/1.1 200 OK\r\n" + chunks + "\r\n0\r\n\r\n", false},
		"neither":                   {"HTTP/1.0 200 OK\r\n\r\nabc", false},
		"both":                      {"HTTP/1.1 200 OK\r\n" + length + chunks + "\r\nabc", true},
		"both, old line ends":       {"HTTP/1.1 200 OK\nContent-Length: 3\nTransfer-Encoding: chunked\n\nabc", true},
		"length twice":              {"HTTP/1.1 200 OK\r\n" + length + "X: " + length + length + "\r\nabc", true},
		"chunks in HTTP/1.0":        {"HTTP/1.0 200 OK\r\n" + chunks + "\r\n0\r\n\r\n", true},
		"after an early hint":       {hint + "\r\nHTTP/1.1 200 OK\r\n" + length + chunks + "\r\nabc", true},
		"one in each head":          {hint + length + "\r\nHTTP/1.1 200 OK\r\n" + length + "\r\nabc", false},
		"both in the body":          {"HTTP/1.1 200 OK\r\n" + length + "\r\n" + length + chunks + "\r\n", false},
		"in the value of a field":   {"HTTP/1.1 200 OK\r\n" + length + "X: Content-Length: 3\r\n\r\nabc", false},
		"in a name that is longer":  {"HTTP/1.1 200 OK\r\n" + length + "Content-Length-Of-The-Original-Document: 3\r\n\r\nabc", false},
		"in a line that goes on":    {"HTTP/1.1 200 OK\r\n" + length + "X: y\r\n Content-Length: 3\r\n\r\nabc", false},
		"status text with a number": {"HTTP/1.1 200 100\r\n" + length + "\r\nabc", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for cut := range len(tt.answer) {
				var s framingScanner
				s.scan([]byte("HTTP/1.1 408 Request Timeout\r\n" + length + chunks + "\r\n")) // before the request
				s.start()
				s.scan([]byte(tt.answer[:cut]))
				s.scan([]byte(tt.answer[cut:]))
				if s.ambiguous.Load() != tt.ambiguous {
					t.Fatalf("divided after byte %d: ambiguous %t", cut, !tt.ambiguous)
				}
			}
		})
	}
}
