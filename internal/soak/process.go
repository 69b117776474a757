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

	"bamboorail.example/bamboorail/internal/duty"
)

// stackTime is what a process gets to write the stacks of its goroutines.
const stackTime = 2 * time.Second

// process is a program that the soak starts, and ends by its id.
type process struct {
	name   string
	binary string
	args   []string
	dir    string
	// began and gone follow the runs of the program; both may be nil.
	began func(ctx context.Context) error
	gone  func()

	mu    sync.Mutex
	lives []*life
	// failures tell which runs ended as they should not.
	failures []string
	// down is set by the fault that ended the process, until it starts it again.
	down bool
}

// life is one run of a process. The lock of the process guards its fields.
type life struct {
	command *exec.Cmd
	waited  *duty.Task
	started time.Time
	ended   time.Time
	// listened tells that the process had a port; before, it may not yet handle
	// signals.
	listened bool
	// left is the time of the first SIGTERM.
	left time.Time
	// killed and paused tell that more than planned work befell the process.
	killed, paused bool
	// signals lists what the process got, for the report.
	signals []string
}

// take reserves the process for a fault that ends it, and returns its present
// life. It reports false if another fault has reserved it.
func (p *process) take() (*life, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	taken := !p.down
	p.down = true
	return p.lives[len(p.lives)-1], taken
}

// giveBack starts the process again.
func (p *process) giveBack(ctx context.Context) (*life, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = false
	return p.startLocked(ctx)
}

// untake gives the process back as it is.
func (p *process) untake() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = false
	return nil
}

// start runs the program; its output is appended to NAME.log.
func (p *process) start(ctx context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, err := p.startLocked(ctx)
	return err
}

func (p *process) startLocked(ctx context.Context) (*life, error) {
	log, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	// The process outlives contexts: it is ended by its id.
	ctx = context.WithoutCancel(ctx)
	l := &life{command: exec.CommandContext(ctx, p.binary, p.args...), started: time.Now()}
	l.command.Stdout, l.command.Stderr = log, log
	// What can fail comes first: a process that runs must be known.
	if p.began != nil {
		err = p.began(ctx)
	}
	if err == nil {
		err = l.command.Start()
	}
	if err != nil {
		return nil, errors.Join(err, log.Close())
	}
	p.lives = append(p.lives, l)
	l.waited = duty.Start(ctx, p.name, func(context.Context) error {
		err := l.command.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		l.ended = time.Now()
		if p.gone != nil {
			p.gone()
		}
		if how := l.broken(err); how != "" {
			p.failures = append(p.failures, how)
		}
		return log.Close()
	})
	return l, nil
}

// broken returns in which way the end of a life breaks a promise, if it does:
// a process ends only when it was told, and with exit status 0 if it got
// nothing but signals of planned work.
func (l *life) broken(err error) string {
	switch {
	case l.killed:
		return ""
	case l.left.IsZero():
		return fmt.Sprintf("ended by itself: %s, got %s", errorText(err), l.signals)
	case err != nil && !l.paused:
		return fmt.Sprintf("ended with %s, got %s", errorText(err), l.signals)
	}
	return ""
}

func errorText(err error) string {
	if err == nil {
		return "exit status 0"
	}
	return err.Error()
}

// current returns the latest life.
func (p *process) current() *life {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lives[len(p.lives)-1]
}

// signal sends a signal to one life of the process.
func (p *process) signal(l *life, s syscall.Signal) error {
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
		if l.left.IsZero() {
			l.left = now
		}
	}
	err := l.command.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil // the life has ended, by this fault or by another
	}
	return err
}

// stop ends a life with a signal, and kills it if it has not ended within
// limit. It reports whether the signal was enough.
func (p *process) stop(l *life, s syscall.Signal, limit time.Duration) bool {
	if err := p.signal(l, s); err != nil {
		return false
	}
	return p.waitFor(l, limit)
}

// waitFor waits for the end of a life. After limit it asks for the stacks of
// its goroutines, which end up in its log, and kills it.
func (p *process) waitFor(l *life, limit time.Duration) bool {
	select {
	case err := <-l.waited.Done():
		return err == nil
	case <-time.After(limit):
	}
	for _, s := range []syscall.Signal{syscall.SIGCONT, syscall.SIGQUIT} {
		if err := p.signal(l, s); err != nil {
			return false
		}
	}
	stacks := time.NewTimer(stackTime)
	defer stacks.Stop()
	for ended := false; !ended; {
		select {
		case _, open := <-l.waited.Done():
			ended = !open
		case <-stacks.C:
			ended = true
		}
	}
	if err := p.signal(l, syscall.SIGKILL); err != nil {
		return false
	}
	l.waited.Join()
	return false
}

// lifeAt returns the life that accepted a connection at a time, as it is now.
func (p *process) lifeAt(at time.Time) life {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := len(p.lives) - 1; n > 0; n-- {
		if !p.lives[n].started.After(at) {
			return *p.lives[n]
		}
	}
	return *p.lives[0]
}

// ends returns which lives ended as they should not.
func (p *process) ends() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.failures, "; ")
}
