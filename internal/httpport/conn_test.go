package httpport

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// TestFailureOfWriteIsNoOrderlyEnd guards against a reset that is taken for an orderly end,
// since the kernel reports it to a write.
func TestFailureOfWriteIsNoOrderlyEnd(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		// finish ends the side of the peer after it has sent a part.
		finish func(c *net.TCPConn)
		// writes is set if this side writes after that.
		writes, orderly bool
	}{
		"reset, noticed by a write":        {finish: func(c *net.TCPConn) { _, _ = c.SetLinger(0), c.Close() }, writes: true},
		"reset, noticed by the read":       {finish: func(c *net.TCPConn) { _, _ = c.SetLinger(0), c.Close() }},
		"closed":                           {finish: func(c *net.TCPConn) { _ = c.Close() }, orderly: true},
		"half closed, then written":        {finish: func(c *net.TCPConn) { _ = c.CloseWrite() }, writes: true, orderly: true},
		"half closed, then reset":          {finish: func(c *net.TCPConn) { _, _, _ = c.CloseWrite(), c.SetLinger(0), c.Close() }, orderly: true},
		"half closed, reset, then a write": {finish: func(c *net.TCPConn) { _, _, _ = c.CloseWrite(), c.SetLinger(0), c.Close() }, writes: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			c, err := dialFunc((&net.Dialer{}).DialContext).checked()(t.Context(), "tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			peer, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer peer.Close()
			_, _ = io.WriteString(peer, "part")
			tt.finish(peer.(*net.TCPConn))
			time.Sleep(20 * time.Millisecond) // until it has arrived
			if tt.writes {
				_, _ = io.WriteString(c, "request")
			}
			data, err := io.ReadAll(c)
			if (err == nil) != tt.orderly || err == nil && string(data) != "part" {
				t.Errorf("read %q with error %v, expected an orderly end: %t", data, err, tt.orderly)
			}
			if tt.writes && !tt.orderly && !errors.Is(err, errBrokenUnnoticed) {
				t.Errorf("error %v, expected that of the write", err)
			}
		})
	}
}
