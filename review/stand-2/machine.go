package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machine is a machine of the system with the process of its role.
type machine struct {
	stand              *stand
	name, zone, ip     string
	front, ready, peer string
	storeAddress       string

	mu      sync.Mutex
	process *exec.Cmd
	// startedAt is the time of the last start, endedAt that of the last end.
	startedAt, endedAt time.Time
	running            bool
	// disturbed are the times at which the machine was frozen or thawed.
	disturbed  []time.Time
	misses     int
	inRotation bool
	// wanted is set while the platform keeps the process running.
	wanted bool
	starts int
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)

// settings fills in the project's template for the machine.
func (m *machine) settings() (string, error) {
	data, err := os.ReadFile(filepath.Join(m.stand.root, m.stand.deploy.template))
	if err != nil {
		return "", err
	}
	text := string(data)
	if n := strings.Index(text, "{{#zones}}"); n >= 0 {
		end := strings.Index(text, "{{/zones}}")
		text = text[:n] + strings.Join(m.stand.zones, ",") + text[end+len("{{/zones}}"):]
	}
	values := map[string]string{
		"node_name": m.name, "zone": m.zone, "ip": m.ip, "listen.front": m.front, "listen.ready": m.ready,
		"internal_ports.0": fmt.Sprint(m.stand.port + 3), "internal_ports.1": fmt.Sprint(m.stand.port + 4),
		"platform.address": m.storeAddress, "bounds.grace_s": "8", "bounds.lease_ms": "3000", "bounds.retry_budget_ratio": "0.2",
		"bounds.budget_slack": "52", "bounds.budget_window_s": "10", "bounds.version_ms": "5000", "limits.memory_mb": "284",
		"limits.cpu_share": "0.4",
	}
	var missing []string
	text = placeholder.ReplaceAllStringFunc(text, func(s string) string {
		name := placeholder.FindStringSubmatch(s)[1]
		v, ok := values[name]
		if !ok {
			missing = append(missing, name)
		}
		return v
	})
	if len(missing) > 0 {
		return "", fmt.Errorf("the template names unknown fields: %v", missing)
	}
	return text, nil
}

// start starts the process with the command of the deploy file.
func (m *machine) start() error {
	text, err := m.settings()
	if err != nil {
		return err
	}
	path := filepath.Join(m.stand.dir, m.name+".json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	args := strings.Fields(m.stand.deploy.run)
	for n := range args {
		if args[n] == "/etc/bamboorail/boot.json" {
			args[n] = path
		}
	}
	log, err := os.OpenFile(filepath.Join(m.stand.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(m.stand.root, args[0]), args[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = m.stand.root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BAMBOORAIL_CONFIG=" + path}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.mu.Lock()
	m.process, m.startedAt, m.running, m.wanted = cmd, time.Now(), true, true
	m.starts++
	m.mu.Unlock()
	m.stand.record("machine %s started pid=%d", m.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		m.mu.Lock()
		m.running, m.endedAt = false, time.Now()
		wanted := m.wanted
		m.mu.Unlock()
		m.stand.record("machine %s ended: %v", m.name, err)
		if wanted {
			m.stand.ownEnds.Add(1)
		}
	}()
	return nil
}

// kill ends the process with SIGKILL.
func (m *machine) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wanted = false
	if m.process != nil && m.running {
		_ = m.process.Process.Kill()
	}
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil && m.running {
		_ = m.process.Process.Signal(s)
	}
}

// inTouchAt reports whether the process ran for the whole contact time before a time.
func (m *machine) inTouchAt(at time.Time, contact time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.Sub(m.startedAt) < contact {
		return false
	}
	for _, d := range m.disturbed {
		if at.After(d) && at.Sub(d) < contact {
			return false
		}
	}
	return m.endedAt.IsZero() || m.endedAt.Before(m.startedAt) || at.Before(m.endedAt)
}

// probe asks the machine whether it is ready, as the platform does each second.
func (m *machine) probe(ctx context.Context) {
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		begun := time.Now()
		resp, err := client.Get("http://" + m.ready + "/bamboorail/readyz")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			resp.Body.Close()
		}
		m.mu.Lock()
		if ok {
			m.misses, m.inRotation = 0, true
		} else if m.misses++; m.misses >= 2 {
			m.inRotation = false
		}
		m.mu.Unlock()
		pause(ctx, time.Second-time.Since(begun))
	}
}

func (m *machine) isInRotation() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inRotation
}

// touch records that the machine is frozen or thawed.
func (m *machine) touch() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.disturbed = append(m.disturbed, time.Now())
}
