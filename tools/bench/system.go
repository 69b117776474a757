package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bamboorail.example/bamboorail/internal/platform"
	"bamboorail.example/bamboorail/internal/stand/engine"
	standplatform "bamboorail.example/bamboorail/internal/stand/platform"
	"bamboorail.example/bamboorail/internal/stand/weightstore"
	"bamboorail.example/bamboorail/internal/task"
	"bamboorail.example/bamboorail/pkg/operatorapi"
	"bamboorail.example/bamboorail/pkg/record"
)

const (
	token     = "bench"
	model     = "suhrn@v1"
	slowModel = "pomaly@v1"
	maxBatch  = 64
	// clockTicks is the number of clock ticks per second in /proc/PID/stat.
	clockTicks   = 100
	pollInterval = 100 * time.Millisecond
)

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}

// instance is a railentry process.
type instance struct {
	name     string
	command  *exec.Cmd
	caller   string
	operator string
}

// system is the system under test. entry is the URL of the instance that does
// not own the fast engine.
type system struct {
	entry, engine string
	slow          *engine.Engine
	entryInstance *instance
	ownerInstance *instance
	instances     []*instance
	cancel        context.CancelFunc
	closers       []func()
	tasks         []*task.Task
	directory     string
}

func startSystem(ctx context.Context, binary string) (*system, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &system{cancel: cancel}
	var err error
	if s.directory, err = os.MkdirTemp("", "bench"); err != nil {
		return nil, err
	}
	store := s.serve(standplatform.New(standplatform.Options{WritesPerSecond: 300}, prometheus.NewRegistry()).Handler())
	weights := s.serve(weightstore.New(weightstore.Options{LoadTime: 50 * time.Millisecond}).Handler())
	_, s.engine = s.addEngine(ctx, weights, 2*time.Millisecond, maxBatch)
	slow, slowURL := s.addEngine(ctx, weights, 20*time.Second, 2*idleStreams)
	s.slow = slow
	if err := declareConfiguration(ctx, store, s.engine, slowURL); err != nil {
		return s, err
	}
	for _, name := range []string{"a1", "a2"} {
		i, err := s.startInstance(ctx, binary, name, store)
		if err != nil {
			return s, err
		}
		s.instances = append(s.instances, i)
	}
	return s, s.awaitOwners(ctx)
}

func (s *system) serve(h http.Handler) string {
	server := httptest.NewServer(h)
	s.closers = append(s.closers, server.Close)
	return server.URL
}

func (s *system) addEngine(ctx context.Context, weights string, step time.Duration, batch int) (*engine.Engine, string) {
	e := engine.New(engine.Options{
		Name: "stroj", BaseModel: "zaklad", Slots: 2, MaxBatch: batch, Step: step, WeightStore: weights, ChecksFencing: true,
	}, client)
	s.tasks = append(s.tasks, task.Start(ctx, "engine", e.Run))
	return e, s.serve(e.OpenAIHandler())
}

func declareConfiguration(ctx context.Context, store, fast, slow string) error {
	var c platform.Change
	c.ID = "bench"
	add := func(format string, a ...any) { c.Apply = append(c.Apply, json.RawMessage(fmt.Sprintf(format, a...))) }
	add(`{"schema-version":1,"kind":"caller","name":"bench","token-sha256":%q,"adapters":["*"]}`, record.HashToken(token))
	for name, url := range map[string]string{"fast": fast, "slow": slow} {
		add(`{"schema-version":1,"kind":"target","name":%q,"role":"engine","zone":"z","url":%q,"dialect":"openai","base-model":"zaklad","slots":2,"max-batch":%d,"checks-fencing":true}`,
			name, url, maxBatch)
	}
	add(`{"schema-version":1,"kind":"adapter","name":"suhrn","base-model":"zaklad","targets":["fast"],"versions":[{"name":"v1"}]}`)
	add(`{"schema-version":1,"kind":"adapter","name":"pomaly","base-model":"zaklad","targets":["slow"],"versions":[{"name":"v1"}]}`)
	_, err := platform.NewWriter(platform.NewClient(store, http.DefaultTransport)).Commit(ctx, c)
	return err
}

func freePort() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

func (s *system) startInstance(ctx context.Context, binary, name, store string) (*instance, error) {
	var ports [4]string
	for n := range ports {
		var err error
		if ports[n], err = freePort(); err != nil {
			return nil, err
		}
	}
	text := fmt.Sprintf("[instance]\nname = %s\navailability-zone = z\n[callers]\naddress = %s\n[peers]\naddress = %s\n[operators]\naddress = %s\ntoken-sha256 = %s\n[metrics]\naddress = %s\n[platform]\nurl = %s\n[log]\nlevel = warn\n",
		name, ports[0], ports[1], ports[2], record.HashToken(token), ports[3], store)
	path := filepath.Join(s.directory, name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	i := &instance{name: name, caller: "http://" + ports[0], operator: "http://" + ports[2]}
	i.command = exec.CommandContext(ctx, binary, "--settings", path)
	i.command.Stderr = os.Stderr
	return i, i.command.Start()
}

// awaitOwners waits until both engines have owners and the fast model is
// served. The instance that does not own the fast engine becomes the entry.
func (s *system) awaitOwners(ctx context.Context) error {
	for {
		list, err := operatorapi.NewClient(s.instances[0].operator, token, http.DefaultTransport).Targets(ctx)
		if err == nil && len(list) == 2 && list[0].Owner != "" && list[1].Owner != "" {
			s.assignRoles(list[0].Owner)
			if _, err := measureStream(ctx, s.entry, model, "warm", tokens); err == nil {
				return nil
			}
		}
		if err := task.Sleep(ctx, pollInterval); err != nil {
			return fmt.Errorf("waiting for engine owners: %w", err)
		}
	}
}

func (s *system) assignRoles(owner string) {
	for _, i := range s.instances {
		if i.name == owner {
			s.ownerInstance = i
			continue
		}
		s.entryInstance = i
		s.entry = i.caller
	}
}

// adapterHandle returns the name of the model's adapter on the fast engine.
func (s *system) adapterHandle(ctx context.Context) string {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.engine+"/metrics", nil)
	if err != nil {
		return ""
	}
	resp, err := client.Do(req)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	_, after, _ := strings.Cut(string(text), `lora_name="`)
	name, _, _ := strings.Cut(after, `"`)
	return name
}

func (s *system) awaitRunning(ctx context.Context, n int) error {
	for s.slow.Started() < n {
		if err := task.Sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	return task.Sleep(ctx, time.Second)
}

// usage holds one measurement for each instance.
type usage struct{ entry, owner float64 }

func (s *system) forBoth(f func(pid int) (float64, error)) (usage, error) {
	e, err := f(s.entryInstance.command.Process.Pid)
	if err != nil {
		return usage{}, err
	}
	o, err := f(s.ownerInstance.command.Process.Pid)
	return usage{e, o}, err
}

// cpuSeconds returns the user and system CPU time in seconds.
func (s *system) cpuSeconds() (usage, error) {
	return s.forBoth(func(pid int) (float64, error) {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil {
			return 0, err
		}
		fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
		user, err := strconv.ParseFloat(fields[11], 64)
		if err != nil {
			return 0, err
		}
		system, err := strconv.ParseFloat(fields[12], 64)
		return (user + system) / clockTicks, err
	})
}

// residentBytes returns the resident set size in bytes.
func (s *system) residentBytes() (usage, error) {
	return s.forBoth(func(pid int) (float64, error) {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		if err != nil {
			return 0, err
		}
		_, after, _ := strings.Cut(string(data), "VmRSS:")
		fields := strings.Fields(after)
		kb, err := strconv.ParseFloat(fields[0], 64)
		return kb * 1024, err
	})
}

func (s *system) stop() {
	for _, i := range s.instances {
		_ = i.command.Process.Signal(syscall.SIGKILL)
		_ = i.command.Wait()
	}
	s.cancel()
	for _, d := range s.tasks {
		d.Join()
	}
	for _, c := range s.closers {
		c()
	}
	_ = os.RemoveAll(s.directory)
}
