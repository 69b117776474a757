package soak

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"bamboorail.example/bamboorail/internal/task"
)

// fault is an injected fault or a maintenance operation.
type fault struct {
	name string
	at   time.Duration
	// lasts is the time after which it is undone.
	lasts time.Duration
	// disturbs names the affected link or process; it is empty for maintenance.
	disturbs string
	do       func(ctx context.Context) error
	undo     func(ctx context.Context) error
}

const (
	// meanGap is the mean time between faults of a cluster of baseInstances;
	// they last up to maxFault, so that several are active at a time. The rate is
	// proportional to the number of instances.
	meanGap       = time.Second
	baseInstances = 4
	maxFault      = 5 * time.Second
	// endLimit is the time within which an instance exits after SIGTERM: the drain
	// timeout, the time to withdraw, and the time for which it may be stopped.
	endLimit = drainTimeout + 5*time.Second + maxFault
	// killLimit is the time within which a killed process must have exited.
	killLimit = time.Minute
	// signalGap bounds the time between consecutive signals.
	signalGap = 400 * time.Millisecond
	// restartGap bounds the time between the instances of a rolling restart.
	restartGap = time.Second
)

// schedule draws the faults of a run from its seed. Every run begins with the
// same maintenance, so that short runs cover it too.
func (c *cluster) schedule(random *rand.Rand, duration time.Duration) []fault {
	list := c.initialFaults()
	gap := float64(meanGap) * baseInstances / float64(len(c.nodes))
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * gap)
		if at >= duration {
			slices.SortStableFunc(list, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
			return list
		}
		for _, f := range c.draw(random) {
			f.at += at
			if f.lasts == 0 {
				f.lasts = time.Duration(random.Int64N(int64(maxFault)))
			}
			list = append(list, f)
		}
	}
}

// initialFaults returns a rolling restart with a release during it. Each
// instance is signaled again while it drains and while it starts.
func (c *cluster) initialFaults() []fault {
	const gap = 200 * time.Millisecond
	again := []step{{0, syscall.SIGTERM}, {gap, syscall.SIGHUP}, {gap, syscall.SIGTERM}, {gap, syscall.SIGHUP}}
	mixed := []step{{0, syscall.SIGHUP}, {0, syscall.SIGTERM}, {0, syscall.SIGHUP}, {2 * gap, syscall.SIGHUP}}
	var list []fault
	for n, v := range c.nodes[:baseInstances] {
		f := signalSeries(v, [][]step{again, mixed}[n%2], []step{{0, syscall.SIGHUP}, {gap, syscall.SIGHUP}})
		f.at, f.lasts = time.Duration(n)*2*gap, gap
		list = append(list, f)
	}
	release := c.release(0)
	release.at = 3 * gap
	return append(list, release)
}

// draw selects a kind of fault and its target at random.
func (c *cluster) draw(random *rand.Rand) []fault {
	v := c.nodes[random.IntN(len(c.nodes))]
	adapter := random.IntN(len(adapters))
	switch random.IntN(14) {
	case 0:
		return []fault{kill(v)}
	case 1:
		return []fault{c.freeze(v.process)}
	case 2:
		return []fault{c.freeze(c.platform)}
	case 3:
		return []fault{c.freeze(c.engines[random.IntN(len(c.engines))])}
	case 4:
		return []fault{c.disturbLink(v.name+" and the platform", v.toPlatform, randomLinkState(random))}
	case 5:
		return []fault{c.disturbLink("peers and "+v.name, v.toPeers, randomLinkState(random))}
	case 6:
		n := random.IntN(len(c.toTargets))
		return []fault{c.disturbLink(fmt.Sprintf("target %d", n+1), c.toTargets[n], randomLinkState(random))}
	case 7, 8, 9:
		return []fault{signalSeries(v, randomSteps(random, 1+random.IntN(5)), randomSteps(random, random.IntN(3)))}
	case 10:
		return []fault{c.release(adapter)}
	case 11:
		// A record change while an owner shuts down or is killed.
		second := kill(v)
		if random.IntN(2) == 0 {
			second = signalSeries(v, []step{{0, syscall.SIGTERM}}, nil)
		}
		second.at = time.Duration(random.Int64N(int64(signalGap)))
		return []fault{c.release(adapter), second, c.drainTarget(random.IntN(len(c.records)))}
	case 12:
		return []fault{c.drainTarget(random.IntN(len(c.records)))}
	}
	return c.rolling(random, adapter)
}

// rolling restarts the instances at short intervals while a new version of an
// adapter is released.
func (c *cluster) rolling(random *rand.Rand, adapter int) []fault {
	gap := restartGap * baseInstances / time.Duration(len(c.nodes))
	release := c.release(adapter)
	release.at = time.Duration(random.Int64N(int64(restartGap) * baseInstances))
	list := append(make([]fault, 0, 1+len(c.nodes)), release)
	for n, v := range c.nodes {
		f := signalSeries(v, append([]step{{0, syscall.SIGTERM}}, randomSteps(random, random.IntN(3))...), randomSteps(random, random.IntN(2)))
		f.at, f.lasts = time.Duration(n)*gap, signalGap
		list = append(list, f)
	}
	return list
}

func randomLinkState(random *rand.Rand) linkState {
	return []linkState{linkSilent, linkOneWay, linkReset, linkSlow}[random.IntN(4)]
}

// step is one signal of a sequence, and the delay after the previous one.
type step struct {
	after  time.Duration
	signal syscall.Signal
}

func randomSteps(random *rand.Rand, count int) []step {
	list := make([]step, count)
	for n := range list {
		list[n] = step{time.Duration(random.Int64N(int64(signalGap))), []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}[random.IntN(2)]}
	}
	return list
}

func describe(list []step) string {
	names := make([]string, len(list))
	for n, s := range list {
		names[n] = fmt.Sprintf("%s after %s", s.signal, s.after.Round(time.Millisecond))
	}
	return strings.Join(names, ", ")
}

// signalSeries sends maintenance signals to the current incarnation of an
// instance, which may be shutting down or stopped already. If a signal makes it
// exit, it is restarted and receives the starting signals once it listens.
func signalSeries(v *node, now, starting []step) fault {
	restarts := false
	return fault{
		name: fmt.Sprintf("%s receives [%s], then [%s] during startup", v.name, describe(now), describe(starting)),
		do: func(ctx context.Context) error {
			l, leaves := v.current(), slices.ContainsFunc(now, func(s step) bool { return s.signal == syscall.SIGTERM })
			if leaves {
				l, restarts = v.reserve()
			}
			if err := v.sendSignals(ctx, l, now); err != nil || !restarts {
				return err
			}
			if !v.waitFor(l, endLimit) {
				return fail("stop-process", "%s did not exit within %s of [%s]", v.name, endLimit, describe(now))
			}
			return nil
		},
		undo: func(ctx context.Context) error {
			if !restarts {
				return nil
			}
			l, err := v.restart(ctx)
			if err != nil || len(starting) == 0 {
				return err
			}
			return v.sendStartupSignals(ctx, l, starting)
		},
	}
}

// sendSignals sends signals to an incarnation once it listens: before that, the
// program may not have installed its signal handlers, and nothing depends on it.
func (v *node) sendSignals(ctx context.Context, l *incarnation, list []step) error {
	err := await(ctx, v.name+" to listen", func() bool { return v.hasListened(ctx, l) })
	if err != nil {
		return err
	}
	for _, s := range list {
		if err := task.Sleep(ctx, s.after); err != nil {
			return err
		}
		if err := v.signal(l, s.signal); err != nil {
			return err
		}
	}
	return nil
}

// hasListened reports whether an incarnation has listened on its port or has
// exited.
func (v *node) hasListened(ctx context.Context, l *incarnation) bool {
	v.mu.Lock()
	known := l.listened || !l.ended.IsZero()
	v.mu.Unlock()
	if known || !listens(ctx, v.callers) {
		return known
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	l.listened = true
	return true
}

// sendStartupSignals sends signals to an incarnation that is starting. If they
// make it exit, it is restarted.
func (v *node) sendStartupSignals(ctx context.Context, l *incarnation, list []step) error {
	n := slices.IndexFunc(list, func(s step) bool { return s.signal == syscall.SIGTERM })
	if n < 0 {
		return v.sendSignals(ctx, l, list)
	}
	if now, reserved := v.reserve(); !reserved || now != l {
		if reserved {
			return v.unreserve()
		}
		return nil // another fault already ends it
	}
	if err := v.sendSignals(ctx, l, list); err != nil {
		return err
	}
	if !v.waitFor(l, endLimit) {
		return fail("stop-process", "%s did not exit within %s of [%s] during startup", v.name, endLimit, describe(list))
	}
	_, err := v.restart(ctx)
	return err
}

// kill sends SIGKILL to an instance, which is restarted when the fault is undone.
func kill(v *node) fault {
	reserved := false
	return fault{
		name: v.name + " is killed by SIGKILL", disturbs: "kill of " + v.name,
		do: func(context.Context) error {
			var l *incarnation
			if l, reserved = v.reserve(); !reserved {
				return v.signal(l, syscall.SIGKILL) // it is shutting down or has exited
			}
			if !v.stop(l, syscall.SIGKILL, killLimit) {
				return fail("stop-process", "%s did not exit within %s of SIGKILL", v.name, killLimit)
			}
			return nil
		},
		undo: func(ctx context.Context) error {
			if !reserved {
				return nil
			}
			_, err := v.restart(ctx)
			return err
		},
	}
}

// freeze stops a process with SIGSTOP and resumes it when the fault is undone.
func (c *cluster) freeze(p *process) fault {
	var l *incarnation
	return fault{
		name: p.name + " is stopped by SIGSTOP", disturbs: p.name,
		do:   func(context.Context) error { l = p.current(); return p.signal(l, syscall.SIGSTOP) },
		undo: func(context.Context) error { return p.signal(l, syscall.SIGCONT) },
	}
}

func (c *cluster) disturbLink(name string, p *proxy, s linkState) fault {
	return fault{
		name:     fmt.Sprintf("link %s: %s", name, []string{"open", "silent", "one way", "reset", "slow"}[s]),
		disturbs: name,
		do:       func(context.Context) error { p.set(s); return nil },
		undo:     func(context.Context) error { p.set(linkOpen); return nil },
	}
}

// inject executes a schedule with one goroutine per fault, so that faults overlap.
func (c *cluster) inject(ctx context.Context, l *recorder, list []fault, report func(format string, a ...any)) error {
	start := time.Now()
	running := make([]*task.Task, 0, len(list))
	for _, f := range list {
		if err := task.Sleep(ctx, f.at-time.Since(start)); err != nil {
			break
		}
		report("%s %6.1f s  %s for %.1f s", time.Now().Format("15:04:05.000"), time.Since(start).Seconds(), f.name, f.lasts.Seconds())
		running = append(running, task.Start(context.WithoutCancel(ctx), f.name, func(ctx context.Context) error {
			if f.disturbs != "" {
				defer l.beginDisturbance(f.disturbs)()
			}
			// The fault is undone even if it failed, so that the process is restarted.
			err := f.do(ctx)
			if err == nil {
				err = task.Sleep(ctx, f.lasts)
			}
			if f.undo != nil {
				err = errors.Join(err, f.undo(ctx))
			}
			return err
		}))
	}
	var failure error
	for _, d := range running {
		if err := <-d.Done(); err != nil && failure == nil {
			failure = err
		}
	}
	return failure
}
