package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func newID() string {
	b := make([]byte, 8)
	rand.Read(b)
	return hex.EncodeToString(b)
}

func modelName(adapter string) string {
	if adapter == "" {
		return model
	}
	return model + "/" + adapter
}

// stream is one stream of a client, over all of its tries.
type stream struct {
	sys      *system
	path     string
	prefix   string
	adapter  string
	events   int // of the whole stream, 0 for the usual number
	deadline time.Duration
	// gap is the time without an event after which the client leaves.
	gap time.Duration

	mu       sync.Mutex
	first    string // the id of the client attempt that brought the first event
	last     int    // the last event
	versions map[string]bool
	whole    bool
	disorder bool
}

func newStream(sys *system, path, prefix string, deadline, gap time.Duration) *stream {
	return &stream{sys: sys, path: path, prefix: prefix, deadline: deadline, gap: gap, versions: map[string]bool{}}
}

func (s *stream) lastEvent() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

func (s *stream) software() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.versions)
}

// result is what came of one client attempt.
type result struct {
	id         string
	status     int // 0 if there was no answer
	events     int
	retryAfter time.Duration
	refused    bool // the connection could not be opened
	err        error
	read       bool
}

// try sends the request once, on a connection of its own, and reads the answer to its end.
// It goes on after the last event that the client has.
func (s *stream) try(ctx context.Context, front string) result {
	id := newID()
	out := result{id: id}
	ctx, cancel := context.WithTimeout(ctx, s.deadline)
	defer cancel()
	dialer := net.Dialer{Timeout: time.Second}
	c, err := dialer.DialContext(ctx, "tcp", front)
	if err != nil {
		out.refused, out.err = true, err
		return out
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	s.mu.Lock()
	last, first := s.last, s.first
	s.mu.Unlock()
	body := strings.Repeat("p", 2900)
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nBamboorail-Request-Id: %s\r\nBamboorail-Model: %s\r\nBamboorail-Token-Usage: 1460,%d\r\n"+
		"Bamboorail-Prompt-Prefix: %s\r\nBamboorail-Deadline-Ms: %d\r\nContent-Length: %d\r\n", s.path, host, id, modelName(s.adapter), 2*max(s.events, 1), s.prefix, s.deadline.Milliseconds(), len(body))
	if last > 0 {
		head += fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", last, first)
	}
	if _, err := io.WriteString(c, head+"\r\n"+body); err != nil {
		out.err = err
		return out
	}
	c.SetReadDeadline(time.Now().Add(s.gap))
	r := bufio.NewReader(c)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		out.err = err
		return out
	}
	defer resp.Body.Close()
	out.status = resp.StatusCode
	if v, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		out.retryAfter = time.Duration(v * float64(time.Second))
	}
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 400))
		out.err = fmt.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text))
		return out
	}
	lines := bufio.NewReader(resp.Body)
	number := 0
	for {
		c.SetReadDeadline(time.Now().Add(s.gap))
		line, err := lines.ReadString('\n')
		if err == io.EOF && line == "" {
			s.mu.Lock()
			s.whole = true
			s.mu.Unlock()
			return out
		}
		if err != nil {
			out.err = err
			return out
		}
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			number, _ = strconv.Atoi(strings.TrimSpace(v))
		}
		if v, ok := strings.CutPrefix(line, "data: "); ok {
			version, _, _ := strings.Cut(v, " ")
			s.mu.Lock()
			if s.first == "" {
				s.first = id
			}
			if number != s.last+1 {
				s.disorder = true
			}
			s.last = number
			s.versions[version] = true
			s.mu.Unlock()
			out.events++
		}
	}
}

// call is a request of a plain service on a kept connection.
type plainClient struct {
	front string
	conn  net.Conn
	r     *bufio.Reader
	calls int
}

// do sends one request and returns the status of its answer, 0 if the connection ended
// without one; kept tells whether the connection had served a request before.
func (p *plainClient) do(method, path string, body []byte, deadline time.Duration) (id string, status int, kept bool, answered http.Header, err error) {
	id = newID()
	if p.conn == nil {
		p.conn, err = net.DialTimeout("tcp", p.front, time.Second)
		if err != nil {
			p.conn = nil
			return id, 0, false, nil, fmt.Errorf("dial: %w", err)
		}
		p.r, p.calls = bufio.NewReader(p.conn), 0
	}
	kept = p.calls > 0
	end := func(cause error) (string, int, bool, http.Header, error) {
		p.conn.Close()
		p.conn = nil
		return id, 0, kept, nil, cause
	}
	p.conn.SetDeadline(time.Now().Add(deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nBamboorail-Request-Id: %s\r\nBamboorail-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		method, path, host, id, deadline.Milliseconds(), len(body))
	if _, err := p.conn.Write(append([]byte(head), body...)); err != nil {
		return end(err)
	}
	resp, err := http.ReadResponse(p.r, &http.Request{Method: method})
	if err != nil {
		return end(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return end(err)
	}
	p.calls++
	if resp.Close {
		p.conn.Close()
		p.conn = nil
	}
	return id, resp.StatusCode, kept, resp.Header, nil
}
