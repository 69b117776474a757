package soak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"bamboorail.example/bamboorail/internal/task"
)

// stackDumpTimeout is the time for a process to write its goroutine stacks.
const stackDumpTimeout = 2 * time.Second

// process is a child process, which is signaled by its process ID.
type process struct {
	name   string
	binary string
	args   []string
	dir    string
	// onStart and onExit are called before a start and after an exit; both may be nil.
	onStart func(ctx context.Context) error
	onExit  func()

	mu           sync.Mutex
	incarnations []*incarnation
	// failures describes unexpected exits.
	failures []string
	// reserved is set while a fault owns the exit and restart of the process.
	reserved bool
}

// incarnation is one execution of a process. The mutex of the process guards its
// fields.
type incarnation struct {
	command  *exec.Cmd
	waitTask *task.Task
	started  time.Time
	ended    time.Time
	// listened reports that the process has accepted connections on its port;
	// before, it may not yet handle signals.
	listened bool
	// sigtermAt is the time of the first SIGTERM.
	sigtermAt time.Time
	// killed and paused report that the process was subject to a fault.
	killed, paused bool
	// signals lists the received signals, for the report.
	signals []string
}

// reserve reserves the process for a fault that ends it, and returns its current
// incarnation. It reports false if another fault has reserved it.
func (p *process) reserve() (*incarnation, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	available := !p.reserved
	p.reserved = true
	return p.incarnations[len(p.incarnations)-1], available
}

// restart releases the reservation and starts the process again.
func (p *process) restart(ctx context.Context) (*incarnation, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reserved = false
	return p.startLocked(ctx)
}

// unreserve releases the reservation without a restart.
func (p *process) unreserve() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reserved = false
	return nil
}

// start runs the program; its output is appended to NAME.log.
func (p *process) start(ctx context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, err := p.startLocked(ctx)
	return err
}

func (p *process) startLocked(ctx context.Context) (*incarnation, error) {
	log, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	// The process must outlive ctx: it is ended by signals to its process ID.
	ctx = context.WithoutCancel(ctx)
	l := &incarnation{command: exec.CommandContext(ctx, p.binary, p.args...), started: time.Now()}
	l.command.Stdout, l.command.Stderr = log, log
	// Steps that can fail come before the start, so that no running process is
	// left untracked.
	if p.onStart != nil {
		err = p.onStart(ctx)
	}
	if err == nil {
		err = l.command.Start()
	}
	if err != nil {
		return nil, errors.Join(err, log.Close())
	}
	p.incarnations = append(p.incarnations, l)
	l.waitTask = task.Start(ctx, p.name, func(context.Context) error {
		err := l.command.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		l.ended = time.Now()
		if p.onExit != nil {
			p.onExit()
		}
		if how := l.unexpectedExit(err); how != "" {
			p.failures = append(p.failures, how)
		}
		return log.Close()
	})
	return l, nil
}

// unexpectedExit describes an unexpected exit, or returns "". A process must exit
// only after SIGTERM or SIGKILL, and with exit status 0 if it received only
// maintenance signals.
func (l *incarnation) unexpectedExit(err error) string {
	switch {
	case l.killed:
		return ""
	case l.sigtermAt.IsZero():
		return fmt.Sprintf("exited without SIGTERM: %s, received %s", errorText(err), l.signals)
	case err != nil && !l.paused:
		return fmt.Sprintf("exited with %s, received %s", errorText(err), l.signals)
	}
	return ""
}

func errorText(err error) string {
	if err == nil {
		return "exit status 0"
	}
	return err.Error()
}

// current returns the latest incarnation.
func (p *process) current() *incarnation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnations[len(p.incarnations)-1]
}

// signal sends a signal to one incarnation of the process.
func (p *process) signal(l *incarnation, s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if l.ended.IsZero() {
		l.signals = append(l.signals, now.Format("05.000 ")+s.String())
	}
	switch s {
	case syscall.SIGKILL, syscall.SIGQUIT:
		l.killed = true
	case syscall.SIGSTOP:
		l.paused = true
	case syscall.SIGTERM:
		if l.sigtermAt.IsZero() {
			l.sigtermAt = now
		}
	}
	err := l.command.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil // the incarnation has exited, by this fault or another
	}
	return err
}

// stop sends a signal to an incarnation, and kills it if it has not exited
// within limit. It reports whether the signal sufficed.
func (p *process) stop(l *incarnation, s syscall.Signal, limit time.Duration) bool {
	if err := p.signal(l, s); err != nil {
		return false
	}
	return p.waitFor(l, limit)
}

// waitFor waits for an incarnation to exit. After limit it makes the process
// write its goroutine stacks to its log (SIGQUIT), and kills it.
func (p *process) waitFor(l *incarnation, limit time.Duration) bool {
	select {
	case err := <-l.waitTask.Done():
		return err == nil
	case <-time.After(limit):
	}
	for _, s := range []syscall.Signal{syscall.SIGCONT, syscall.SIGQUIT} {
		if err := p.signal(l, s); err != nil {
			return false
		}
	}
	stacks := time.NewTimer(stackDumpTimeout)
	defer stacks.Stop()
	for ended := false; !ended; {
		select {
		case _, open := <-l.waitTask.Done():
			ended = !open
		case <-stacks.C:
			ended = true
		}
	}
	if err := p.signal(l, syscall.SIGKILL); err != nil {
		return false
	}
	l.waitTask.Join()
	return false
}

// incarnationAt returns the current state of the incarnation that accepted a
// connection opened at the given time.
func (p *process) incarnationAt(at time.Time) incarnation {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := len(p.incarnations) - 1; n > 0; n-- {
		if !p.incarnations[n].started.After(at) {
			return *p.incarnations[n]
		}
	}
	return *p.incarnations[0]
}

// unexpectedExits describes the incarnations that exited unexpectedly.
func (p *process) unexpectedExits() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.failures, "; ")
}
