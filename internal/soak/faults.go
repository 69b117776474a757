package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"time"

	"bamboorail.example/bamboorail/internal/duty"
)

// fault is one disturbance.
type fault struct {
	name string
	at   time.Duration
	// lasts is the time until it is undone.
	lasts time.Duration
	do    func() error
	undo  func() error
}

const (
	// meanGap is the mean time between faults; they last up to maxFault, so
	// that several are in force at a time.
	meanGap  = time.Second
	maxFault = 5 * time.Second
)

// schedule draws the faults of a run from its seed.
func (c *cluster) schedule(random *rand.Rand, duration time.Duration) []fault {
	var list []fault
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(meanGap))
		if at >= duration {
			return list
		}
		f := c.draw(random)
		f.at, f.lasts = at, time.Duration(random.Int64N(int64(maxFault)))
		list = append(list, f)
	}
}

// draw draws one kind of fault and its victim.
func (c *cluster) draw(random *rand.Rand) fault {
	v := c.nodes[random.IntN(len(c.nodes))]
	switch random.IntN(8) {
	case 0:
		return restart(v.process, syscall.SIGTERM, drainTimeout+5*time.Second)
	case 1:
		return restart(v.process, syscall.SIGKILL, time.Minute)
	case 2:
		return freeze(v.process)
	case 3:
		return freeze(c.platform)
	case 4:
		return freeze(c.engines[random.IntN(len(c.engines))])
	case 5:
		return disturb(v.name+" and the platform", v.toPlatform, draws(random))
	case 6:
		return disturb("peers and "+v.name, v.toPeers, draws(random))
	}
	n := random.IntN(len(c.toTargets))
	return disturb(fmt.Sprintf("target %d", n+1), c.toTargets[n], draws(random))
}

func draws(random *rand.Rand) linkState {
	return []linkState{linkSilent, linkOneWay, linkReset, linkSlow}[random.IntN(4)]
}

// restart ends a process, which is started again when the fault is undone.
func restart(p *process, s syscall.Signal, limit time.Duration) fault {
	taken := false
	return fault{
		name: fmt.Sprintf("%s gets %s", p.name, s),
		do: func() error {
			if taken = p.take(); !taken {
				return nil // another fault has ended it
			}
			if s == syscall.SIGTERM {
				// A frozen one leaves only once it goes on.
				_ = p.signal(syscall.SIGCONT)
			}
			if !p.stop(s, limit) {
				return fail("stop-process", "%s did not end within %s of %s", p.name, limit, s)
			}
			return nil
		},
		undo: func() error {
			if !taken {
				return nil
			}
			return p.giveBack()
		},
	}
}

// freeze stops a process and lets it go on when the fault is undone.
func freeze(p *process) fault {
	return fault{
		name: p.name + " stands still",
		do:   func() error { return running(p.signal(syscall.SIGSTOP)) },
		undo: func() error { return running(p.signal(syscall.SIGCONT)) },
	}
}

// running drops the error of a process that another fault has ended.
func running(err error) error {
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

func disturb(name string, p *proxy, s linkState) fault {
	return fault{
		name: fmt.Sprintf("link of %s: %s", name, []string{"open", "silent", "one way", "reset", "slow"}[s]),
		do:   func() error { p.set(s); return nil },
		undo: func() error { p.set(linkOpen); return nil },
	}
}

// inject carries a schedule out, a goroutine a victim at a time: faults of one
// process follow each other, those of different ones overlap.
func (c *cluster) inject(ctx context.Context, list []fault, report func(format string, a ...any)) error {
	start := time.Now()
	running := make([]*duty.Duty, 0, len(list))
	for _, f := range list {
		if err := duty.Sleep(ctx, f.at-time.Since(start)); err != nil {
			break
		}
		report("%6.1f s  %s for %.1f s", time.Since(start).Seconds(), f.name, f.lasts.Seconds())
		running = append(running, duty.Start(context.WithoutCancel(ctx), f.name, func(ctx context.Context) error {
			if err := f.do(); err != nil {
				return err
			}
			if err := duty.Sleep(ctx, f.lasts); err != nil {
				return err
			}
			return f.undo()
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
