// Command bench measures the overhead that the entry and owner instances add to
// a request. It starts two instances, loads them over loopback for a bounded
// time, and compares them with direct requests to the simulated engine.
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
	if err := measureLatency(ctx, s); err != nil {
		return err
	}
	if err := measureThroughput(ctx, s); err != nil {
		return err
	}
	return measureIdleStreams(ctx, s)
}

// streamTiming holds the timings of one streamed request: the time to the first
// chunk, the time from there to the end, and the number of chunks.
type streamTiming struct {
	first time.Duration
	rest  time.Duration
	count int
}

// measureStream sends a streamed completion request and times its chunks.
func measureStream(ctx context.Context, url, model, id string, n int) (streamTiming, error) {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, model, id, n)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return streamTiming{}, err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	req.Header.Set("X-Request-Id", id)
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return streamTiming{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return streamTiming{}, fmt.Errorf("status %s: %s", resp.Status, text)
	}
	return readStream(resp.Body, start)
}

func readStream(r io.Reader, start time.Time) (streamTiming, error) {
	var t streamTiming
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

// measureLatency measures direct requests, then requests through the entry and
// owner instances, while background streams occupy half of the batch.
func measureLatency(ctx context.Context, s *system) error {
	background, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	for n := range maxBatch / 2 {
		group.Go(func() {
			for k := 0; background.Err() == nil; k++ {
				_, _ = measureStream(background, s.entry, model, fmt.Sprintf("background-%d-%d", n, k), streamTokens)
			}
		})
	}
	defer group.Wait()
	defer stop()
	paths := []struct{ name, url, model string }{{"direct", s.engine, s.adapterHandle(ctx)}, {"entry and owner", s.entry, model}}
	for _, p := range paths {
		first := hdrhistogram.New(1, maxMicros, histogramDigit)
		perToken := hdrhistogram.New(1, maxMicros, histogramDigit)
		for n := range requests {
			t, err := measureStream(ctx, p.url, p.model, fmt.Sprintf("%s-%d", strings.ReplaceAll(p.name, " ", "-"), n), tokens)
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

// measureThroughput relays full batches and computes tokens per second of CPU
// time.
func measureThroughput(ctx context.Context, s *system) error {
	before, err := s.cpuSeconds()
	if err != nil {
		return err
	}
	start := time.Now()
	var group sync.WaitGroup
	failures := make(chan error, streams)
	for n := range streams {
		group.Go(func() {
			if _, err := measureStream(ctx, s.entry, model, fmt.Sprintf("throughput-%d", n), streamTokens); err != nil {
				failures <- err
			}
		})
	}
	group.Wait()
	close(failures)
	if err := <-failures; err != nil {
		return err
	}
	after, err := s.cpuSeconds()
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

// measureIdleStreams opens streams that have started and are idle, and computes
// the growth of resident memory per stream.
func measureIdleStreams(ctx context.Context, s *system) error {
	before, err := s.residentBytes()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	for n := range idleStreams {
		group.Go(func() { _, _ = measureStream(ctx, s.entry, slowModel, fmt.Sprintf("idle-%d", n), tokens) })
	}
	if err := s.awaitRunning(ctx, idleStreams); err != nil {
		return err
	}
	after, err := s.residentBytes()
	cancel()
	group.Wait()
	if err != nil {
		return err
	}
	fmt.Printf("idle streams: entry %.1f KB, owner %.1f KB of resident memory each (%d streams)\n",
		(after.entry-before.entry)/idleStreams/1024, (after.owner-before.owner)/idleStreams/1024, idleStreams)
	return nil
}
