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

	"bamboorail.example/bamboorail/internal/duty"
)

// fault is one disturbance or piece of planned work.
type fault struct {
	name string
	at   time.Duration
	// lasts is the time until it is undone.
	lasts time.Duration
	// disturbs names the link or process to which it does more than was planned.
	disturbs string
	do       func(ctx context.Context) error
	undo     func(ctx context.Context) error
}

const (
	// meanGap is the mean time between faults of a cluster of baseInstances;
	// they last up to maxFault, so that several are in force at a time. A larger
	// cluster gets more of them.
	meanGap       = time.Second
	baseInstances = 4
	maxFault      = 5 * time.Second
	// endLimit is the time in which an instance that was told to leave has ended:
	// the drain timeout, as much as it takes to withdraw, and the time for which
	// it may stand still.
	endLimit = drainTimeout + 5*time.Second + maxFault
	// killLimit is the time in which the kernel ends a killed process.
	killLimit = time.Minute
	// signalGap bounds the time between the signals of a series.
	signalGap = 400 * time.Millisecond
	// restartGap bounds the time between the instances of a rolling restart.
	restartGap = time.Second
)

// schedule draws the faults of a run from its seed. Every run begins with the
// same planned work, so that a short run plays it too.
func (c *cluster) schedule(random *rand.Rand, duration time.Duration) []fault {
	list := c.opening()
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

// opening is a rolling restart with a release in it, in which each instance
// is signaled again while it drains and while it starts.
func (c *cluster) opening() []fault {
	const gap = 200 * time.Millisecond
	again := []step{{0, syscall.SIGTERM}, {gap, syscall.SIGHUP}, {gap, syscall.SIGTERM}, {gap, syscall.SIGHUP}}
	mixed := []step{{0, syscall.SIGHUP}, {0, syscall.SIGTERM}, {0, syscall.SIGHUP}, {2 * gap, syscall.SIGHUP}}
	var list []fault
	for n, v := range c.nodes[:baseInstances] {
		f := series(v, [][]step{again, mixed}[n%2], []step{{0, syscall.SIGHUP}, {gap, syscall.SIGHUP}})
		f.at, f.lasts = time.Duration(n)*2*gap, gap
		list = append(list, f)
	}
	release := c.release(0)
	release.at = 3 * gap
	return append(list, release)
}

// draw draws one kind of fault and its victim.
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
		return []fault{c.cut(v.name+" and the platform", v.toPlatform, draws(random))}
	case 5:
		return []fault{c.cut("peers and "+v.name, v.toPeers, draws(random))}
	case 6:
		n := random.IntN(len(c.toTargets))
		return []fault{c.cut(fmt.Sprintf("target %d", n+1), c.toTargets[n], draws(random))}
	case 7, 8, 9:
		return []fault{series(v, steps(random, 1+random.IntN(5)), steps(random, random.IntN(3)))}
	case 10:
		return []fault{c.release(adapter)}
	case 11:
		// A change of records while an owner leaves or is killed.
		second := kill(v)
		if random.IntN(2) == 0 {
			second = series(v, []step{{0, syscall.SIGTERM}}, nil)
		}
		second.at = time.Duration(random.Int64N(int64(signalGap)))
		return []fault{c.release(adapter), second, c.drainTarget(random.IntN(len(c.records)))}
	case 12:
		return []fault{c.drainTarget(random.IntN(len(c.records)))}
	}
	return c.rolling(random, adapter)
}

// rolling restarts every instance, one shortly after the other, while a new
// version of an adapter is released.
func (c *cluster) rolling(random *rand.Rand, adapter int) []fault {
	gap := restartGap * baseInstances / time.Duration(len(c.nodes))
	release := c.release(adapter)
	release.at = time.Duration(random.Int64N(int64(restartGap) * baseInstances))
	list := append(make([]fault, 0, 1+len(c.nodes)), release)
	for n, v := range c.nodes {
		f := series(v, append([]step{{0, syscall.SIGTERM}}, steps(random, random.IntN(3))...), steps(random, random.IntN(2)))
		f.at, f.lasts = time.Duration(n)*gap, signalGap
		list = append(list, f)
	}
	return list
}

func draws(random *rand.Rand) linkState {
	return []linkState{linkSilent, linkOneWay, linkReset, linkSlow}[random.IntN(4)]
}

// step is one signal of a series, and the time since the one before.
type step struct {
	after  time.Duration
	signal syscall.Signal
}

func steps(random *rand.Rand, count int) []step {
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

// series sends planned signals to the present life of an instance, which may
// leave or stand still already. If it ends, it is started again and gets those
// of starting as soon as it has a port.
func series(v *node, now, starting []step) fault {
	restarts := false
	return fault{
		name: fmt.Sprintf("%s gets [%s], then [%s] as it starts", v.name, describe(now), describe(starting)),
		do: func(ctx context.Context) error {
			l, leaves := v.current(), slices.ContainsFunc(now, func(s step) bool { return s.signal == syscall.SIGTERM })
			if leaves {
				l, restarts = v.take()
			}
			if err := v.play(ctx, l, now); err != nil || !restarts {
				return err
			}
			if !v.waitFor(l, endLimit) {
				return fail("stop-process", "%s did not end within %s of [%s]", v.name, endLimit, describe(now))
			}
			return nil
		},
		undo: func(ctx context.Context) error {
			if !restarts {
				return nil
			}
			l, err := v.giveBack(ctx)
			if err != nil || len(starting) == 0 {
				return err
			}
			return v.playStart(ctx, l, starting)
		},
	}
}

// play sends a series of signals to a life, once it has a port: until then a
// program may have had no time to handle them, and nobody depends on it.
func (v *node) play(ctx context.Context, l *life, list []step) error {
	err := await(ctx, v.name+" to listen", func() bool { return v.hasPort(ctx, l) })
	if err != nil {
		return err
	}
	for _, s := range list {
		if err := duty.Sleep(ctx, s.after); err != nil {
			return err
		}
		if err := v.signal(l, s.signal); err != nil {
			return err
		}
	}
	return nil
}

// hasPort reports whether a life has had a port, or is over.
func (v *node) hasPort(ctx context.Context, l *life) bool {
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

// playStart sends signals to a life that starts. If it leaves, it is started
// once more.
func (v *node) playStart(ctx context.Context, l *life, list []step) error {
	n := slices.IndexFunc(list, func(s step) bool { return s.signal == syscall.SIGTERM })
	if n < 0 {
		return v.play(ctx, l, list)
	}
	if now, taken := v.take(); !taken || now != l {
		if taken {
			return v.untake()
		}
		return nil // another fault ends it already
	}
	if err := v.play(ctx, l, list); err != nil {
		return err
	}
	if !v.waitFor(l, endLimit) {
		return fail("stop-process", "%s did not end within %s of [%s] as it started", v.name, endLimit, describe(list))
	}
	_, err := v.giveBack(ctx)
	return err
}

// kill ends an instance, which is started again when the fault is undone.
func kill(v *node) fault {
	taken := false
	return fault{
		name: v.name + " is killed", disturbs: "kill of " + v.name,
		do: func(context.Context) error {
			var l *life
			if l, taken = v.take(); !taken {
				return v.signal(l, syscall.SIGKILL) // it leaves, or is down
			}
			if !v.stop(l, syscall.SIGKILL, killLimit) {
				return fail("stop-process", "%s did not end within %s of its kill", v.name, killLimit)
			}
			return nil
		},
		undo: func(ctx context.Context) error {
			if !taken {
				return nil
			}
			_, err := v.giveBack(ctx)
			return err
		},
	}
}

// freeze stops a process and lets it go on when the fault is undone.
func (c *cluster) freeze(p *process) fault {
	var l *life
	return fault{
		name: p.name + " stands still", disturbs: p.name,
		do:   func(context.Context) error { l = p.current(); return p.signal(l, syscall.SIGSTOP) },
		undo: func(context.Context) error { return p.signal(l, syscall.SIGCONT) },
	}
}

func (c *cluster) cut(name string, p *proxy, s linkState) fault {
	return fault{
		name:     fmt.Sprintf("link of %s: %s", name, []string{"open", "silent", "one way", "reset", "slow"}[s]),
		disturbs: name,
		do:       func(context.Context) error { p.set(s); return nil },
		undo:     func(context.Context) error { p.set(linkOpen); return nil },
	}
}

// inject carries a schedule out, a goroutine a fault, so that they overlap.
func (c *cluster) inject(ctx context.Context, l *ledger, list []fault, report func(format string, a ...any)) error {
	start := time.Now()
	running := make([]*duty.Task, 0, len(list))
	for _, f := range list {
		if err := duty.Sleep(ctx, f.at-time.Since(start)); err != nil {
			break
		}
		report("%s %6.1f s  %s for %.1f s", time.Now().Format("15:04:05.000"), time.Since(start).Seconds(), f.name, f.lasts.Seconds())
		running = append(running, duty.Start(context.WithoutCancel(ctx), f.name, func(ctx context.Context) error {
			if f.disturbs != "" {
				defer l.disturb(f.disturbs)()
			}
			// A process that did not end as it should is started again all the same.
			err := f.do(ctx)
			if err == nil {
				err = duty.Sleep(ctx, f.lasts)
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
