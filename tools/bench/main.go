// Command bench measures what entry and owner add to a request: it starts two
// instances, drives them over loopback for a bounded time, and compares with
// the stand-in of an engine reached directly.
package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	requests       = 400
	tokens         = 50
	streams        = 64
	streamTokens   = 2000
	idleStreams    = 500
	maxMicros      = 60_000_000
	histogramDigit = 3
)

func main() {
	binary := flag.String("railentry", "bin/railentry", "path of the `PROGRAM` to measure")
	flag.Parse()
	if err := run(*binary); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(binary string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Minute)
	defer cancel()
	s, err := startSystem(ctx, binary)
	if err != nil {
		return err
	}
	defer s.stop()
	if err := latency(ctx, s); err != nil {
		return err
	}
	if err := throughput(ctx, s); err != nil {
		return err
	}
	return idle(ctx, s)
}

// timing is the course of one streamed request.
type timing struct {
	first time.Duration
	rest  time.Duration
	count int
}

// stream sends a streamed completion and times its chunks.
func stream(ctx context.Context, url, model, id string, n int) (timing, error) {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, model, id, n)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return timing{}, err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	req.Header.Set("X-Request-Id", id)
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return timing{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return timing{}, fmt.Errorf("status %s: %s", resp.Status, text)
	}
	return readStream(resp.Body, start)
}

func readStream(r io.Reader, start time.Time) (timing, error) {
	var t timing
	var first time.Time
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		switch line := lines.Text(); {
		case line == "data: [DONE]":
			t.rest = time.Since(first)
			return t, nil
		case strings.HasPrefix(line, "data: "):
			if t.count == 0 {
				first = time.Now()
				t.first = first.Sub(start)
			}
			t.count++
		}
	}
	return t, fmt.Errorf("stream ended after %d chunks: %w", t.count, io.ErrUnexpectedEOF)
}

// latency alternates direct requests with requests through entry and owner,
// beside streams that use half of the batch.
func latency(ctx context.Context, s *system) error {
	background, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	for n := range maxBatch / 2 {
		group.Go(func() {
			for k := 0; background.Err() == nil; k++ {
				_, _ = stream(background, s.entry, model, fmt.Sprintf("background-%d-%d", n, k), streamTokens)
			}
		})
	}
	defer group.Wait()
	defer stop()
	paths := []struct{ name, url, model string }{{"direct", s.engine, s.handle(ctx)}, {"entry and owner", s.entry, model}}
	for _, p := range paths {
		first := hdrhistogram.New(1, maxMicros, histogramDigit)
		perToken := hdrhistogram.New(1, maxMicros, histogramDigit)
		for n := range requests {
			t, err := stream(ctx, p.url, p.model, fmt.Sprintf("%s-%d", strings.ReplaceAll(p.name, " ", "-"), n), tokens)
			if err != nil {
				return err
			}
			_ = first.RecordValue(t.first.Microseconds())
			_ = perToken.RecordValue((t.rest / time.Duration(tokens-1)).Microseconds())
		}
		fmt.Printf("%-16s first token us p50 %d p95 %d p99 %d; per token us p50 %d p95 %d p99 %d (%d requests, half load)\n", p.name,
			first.ValueAtQuantile(50), first.ValueAtQuantile(95), first.ValueAtQuantile(99),
			perToken.ValueAtQuantile(50), perToken.ValueAtQuantile(95), perToken.ValueAtQuantile(99), requests)
	}
	return nil
}

// throughput relays full batches and divides tokens by processor time.
func throughput(ctx context.Context, s *system) error {
	before, err := s.cpu()
	if err != nil {
		return err
	}
	start := time.Now()
	var group sync.WaitGroup
	failures := make(chan error, streams)
	for n := range streams {
		group.Go(func() {
			if _, err := stream(ctx, s.entry, model, fmt.Sprintf("throughput-%d", n), streamTokens); err != nil {
				failures <- err
			}
		})
	}
	group.Wait()
	close(failures)
	if err := <-failures; err != nil {
		return err
	}
	after, err := s.cpu()
	if err != nil {
		return err
	}
	elapsed := time.Since(start).Seconds()
	total := float64(streams * streamTokens)
	fmt.Printf("throughput: %.0f tokens/s offered; entry %.0f tokens/s a core, owner %.0f tokens/s a core, both %.0f tokens/s a core\n",
		total/elapsed, total/(after.entry-before.entry), total/(after.owner-before.owner),
		total/(after.entry-before.entry+after.owner-before.owner))
	return nil
}

// idle opens streams that have begun and pause, and divides the growth of
// memory by their number.
func idle(ctx context.Context, s *system) error {
	before, err := s.memory()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	for n := range idleStreams {
		group.Go(func() { _, _ = stream(ctx, s.entry, slowModel, fmt.Sprintf("idle-%d", n), tokens) })
	}
	if err := s.awaitRunning(ctx, idleStreams); err != nil {
		return err
	}
	after, err := s.memory()
	cancel()
	group.Wait()
	if err != nil {
		return err
	}
	fmt.Printf("idle streams: entry %.1f KB, owner %.1f KB of resident memory each (%d streams)\n",
		(after.entry-before.entry)/idleStreams/1024, (after.owner-before.owner)/idleStreams/1024, idleStreams)
	return nil
}
