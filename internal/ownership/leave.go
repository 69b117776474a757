package ownership

import (
	"context"

	"bamboorail.example/bamboorail/internal/duty"
)

// Leave releases everything and waits until no request runs and the release
// is recorded. Run must still be running. The end of ctx ends the wait.
func (m *Manager) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.closeAll()
	m.TriggerPlan()
	if err := waitUntil(ctx, m.idle); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, releasePatience)
	defer cancel()
	if err := waitUntil(ctx, m.released); err != nil {
		m.config.Log.Warn("release not recorded", "error", err)
	}
	return nil
}

func waitUntil(ctx context.Context, condition func() bool) error {
	for !condition() {
		if err := duty.Sleep(ctx, drainPoll); err != nil {
			return err
		}
	}
	return nil
}

// released reports whether the ledger names this session nowhere, and no claim
// is under way.
func (m *Manager) released() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.config.Directory.Self().ID
	for _, o := range m.ledger.Targets {
		for _, h := range append(o.Clone().Earlier, o.Current) {
			if h.Session == self {
				return false
			}
		}
	}
	return m.left && !m.dirty
}

// closeAll refuses new work before the release is announced.
func (m *Manager) closeAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for target, o := range m.current {
		m.retire(target, o)
	}
}

func (m *Manager) idle() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.current) > 0 {
		return false
	}
	for _, list := range m.draining {
		for _, o := range list {
			if o.owner.Running() > 0 {
				return false
			}
		}
	}
	return true
}
