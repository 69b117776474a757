package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"strings"
	"sync"
)

// storeFront is the way of one machine to the store. It can be cut, and can show the machine
// other addresses of the engines, those of links that can be cut too.
type storeFront struct {
	stand *stand
	// offset is added to the last byte of the addresses of engines, 0 for none.
	offset int

	mu     sync.Mutex
	healed chan struct{} // nil unless cut
}

// addFront adds a way to the store at an address of its own.
func (s *stand) addFront(n, offset int) (*storeFront, string, error) {
	f := &storeFront{stand: s, offset: offset}
	address := fmt.Sprintf("%s:%d", s.ip(160+n), s.port)
	_, err := serve(address, f)
	return f, address, err
}

// cut holds all calls up until heal; they are lost then.
func (f *storeFront) cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.healed = make(chan struct{})
}

func (f *storeFront) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.healed != nil {
		close(f.healed)
		f.healed = nil
	}
}

func (f *storeFront) cutChannel() chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.healed
}

var engineAddress = regexp.MustCompile(`"address":"127\.(\d+\.\d+)\.(\d+):`)

// ServeHTTP passes a call on to the store.
func (f *storeFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	hold := func() bool {
		healed := f.cutChannel()
		if healed == nil {
			return false
		}
		select {
		case <-healed:
		case <-r.Context().Done():
		}
		reset(w)
		return true
	}
	if hold() {
		return
	}
	if f.stand.store.isDown() {
		reset(w)
		return
	}
	recorder := httptest.NewRecorder()
	f.stand.store.ServeHTTP(recorder, r)
	if hold() {
		return
	}
	if f.stand.store.isDown() || recorder.Code == 0 || recorder.Header().Get("Store-Era") == "" {
		reset(w)
		return
	}
	body := recorder.Body.Bytes()
	if f.offset > 0 && strings.HasPrefix(r.URL.Path, "/bamboorail/objects/servers") {
		body = engineAddress.ReplaceAllFunc(body, func(match []byte) []byte {
			parts := engineAddress.FindSubmatch(match)
			n, _ := strconv.Atoi(string(parts[2]))
			return fmt.Appendf(nil, `"address":"127.%s.%d:`, parts[1], n+f.offset)
		})
	}
	for name, values := range recorder.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(recorder.Code)
	_, _ = io.Copy(w, bytes.NewReader(body))
}

// link is the way of one machine to one engine.
type link struct {
	from, to string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

// open accepts connections.
func (l *link) open() error {
	listener, err := net.Listen("tcp", l.from)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.listener, l.conns = listener, map[net.Conn]bool{}
	l.mu.Unlock()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.pass(c)
		}
	}()
	return nil
}

func (l *link) pass(c net.Conn) {
	d, err := net.Dial("tcp", l.to)
	if err != nil {
		resetConn(c)
		return
	}
	l.mu.Lock()
	if l.listener == nil {
		l.mu.Unlock()
		resetConn(c)
		resetConn(d)
		return
	}
	l.conns[c], l.conns[d] = true, true
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Add(2)
	for _, pair := range [][2]net.Conn{{c, d}, {d, c}} {
		go func() {
			defer wg.Done()
			if _, err := io.Copy(pair[0], pair[1]); err != nil {
				resetConn(pair[0])
				resetConn(pair[1])
				return
			}
			if t, ok := pair[0].(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
		}()
	}
	wg.Wait()
	_ = c.Close()
	_ = d.Close()
	l.mu.Lock()
	delete(l.conns, c)
	delete(l.conns, d)
	l.mu.Unlock()
}

func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// cut resets the connections and refuses new ones.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		_ = l.listener.Close()
		l.listener = nil
	}
	for c := range l.conns {
		resetConn(c)
	}
}
