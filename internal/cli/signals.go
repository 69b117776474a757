package cli

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/hashicorp/go-hclog"
)

// signalRing is the number of signals that wait until they are taken in or
// logged; the kernel joins signals of a kind that follow each other closely.
const signalRing = 16

// Signals are the signals of a daemon. They are received from the start of the
// process to its end: the default action of any of them would end the process
// and cut off its answers.
type Signals struct {
	arrived chan os.Signal
	hangups chan struct{}
	stop    context.CancelFunc

	mu sync.Mutex
	// log is nil until the program has one; early are the signals before that.
	log   hclog.Logger
	early []os.Signal
}

// receiveSignals installs the handler of the process. SIGTERM and SIGINT call
// stop.
func receiveSignals(stop context.CancelFunc) *Signals {
	s := &Signals{arrived: make(chan os.Signal, signalRing), hangups: make(chan struct{}, 1), stop: stop}
	signal.Notify(s.arrived, syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM)
	// A write to a standard stream that nobody reads fails instead.
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// Hangups returns a channel with a value after each SIGHUP; those that nobody
// has taken yet count as one.
func (s *Signals) Hangups() <-chan struct{} { return s.hangups }

// LogTo has signals logged, those that have arrived before included.
func (s *Signals) LogTo(log hclog.Logger) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = log
	for _, one := range s.early {
		s.write(one)
	}
	s.early = nil
}

// run takes in signals until ctx ends.
func (s *Signals) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case one := <-s.arrived:
			s.take(one)
		}
	}
}

func (s *Signals) take(one os.Signal) {
	if one == syscall.SIGHUP {
		select {
		case s.hangups <- struct{}{}:
		default:
		}
	} else {
		s.stop()
	}
	s.report(one)
}

func (s *Signals) report(one os.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.log != nil {
		s.write(one)
	} else if len(s.early) < signalRing {
		s.early = append(s.early, one)
	}
}

func (s *Signals) write(one os.Signal) { s.log.Info("signal received", "signal", one.String()) }
