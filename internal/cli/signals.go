package cli

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/hashicorp/go-hclog"
)

// signalRing bounds the signals that are buffered until they are handled or
// logged. The kernel coalesces pending signals of the same number.
const signalRing = 16

// Signals receives the signals of a daemon. The handlers stay installed until
// the process exits, because the default action of any of these signals would
// terminate the process and truncate responses in flight.
type Signals struct {
	arrived chan os.Signal
	hangups chan struct{}
	stop    context.CancelFunc

	mu sync.Mutex
	// log is nil until LogTo is called; early holds the signals received before.
	log   hclog.Logger
	early []os.Signal
}

// receiveSignals installs the signal handlers. SIGTERM and SIGINT call
// stop.
func receiveSignals(stop context.CancelFunc) *Signals {
	s := &Signals{arrived: make(chan os.Signal, signalRing), hangups: make(chan struct{}, 1), stop: stop}
	signal.Notify(s.arrived, syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM)
	// A write to a standard stream that nobody reads fails instead.
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// Hangups returns a channel that receives a value after each SIGHUP. Signals
// that have not been consumed yet are coalesced into one value.
func (s *Signals) Hangups() <-chan struct{} { return s.hangups }

// LogTo sets the logger for signals and logs those received before the call.
func (s *Signals) LogTo(log hclog.Logger) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = log
	for _, one := range s.early {
		s.write(one)
	}
	s.early = nil
}

// run handles signals until ctx is done.
func (s *Signals) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case one := <-s.arrived:
			s.handle(one)
		}
	}
}

func (s *Signals) handle(one os.Signal) {
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
