package soak

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// process is a program that the soak starts, and ends by its id.
type process struct {
	name   string
	binary string
	args   []string
	dir    string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// told is set once the process was told to end; failure tells how it ended
	// without that.
	told    bool
	failure string
	// down is set by the fault that ended the process, until it starts it again.
	down bool
}

// take reserves the process for a fault that ends it.
func (p *process) take() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	taken := p.down
	p.down = true
	return !taken
}

// giveBack starts the process again.
func (p *process) giveBack() error {
	err := p.start()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = false
	return err
}

// start runs the program; its output is appended to NAME.log.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	// The process outlives contexts: it is ended by its id.
	cmd := exec.CommandContext(context.Background(), p.binary, p.args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done, p.told = cmd, done, false
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.told {
			p.failure = "ended by itself: " + errorText(err)
		}
		close(done)
	}()
	return nil
}

func errorText(err error) string {
	if err == nil {
		return "exit status 0"
	}
	return err.Error()
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.told = true
	}
	return p.cmd.Process.Signal(s)
}

// stop ends the process with a signal, and kills it if it has not ended within
// limit. It reports whether the signal was enough.
func (p *process) stop(s syscall.Signal, limit time.Duration) bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	// A process that has ended takes no signal.
	_ = p.signal(s)
	select {
	case <-done:
		return true
	case <-time.After(limit):
	}
	_ = p.signal(syscall.SIGKILL)
	<-done
	return false
}

// ended returns how the process ended without being told, if it did.
func (p *process) ended() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failure
}
