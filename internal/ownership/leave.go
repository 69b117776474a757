package ownership

import (
	"context"

	"bamboorail.example/bamboorail/internal/task"
)

// Leave releases all targets and waits until no request is running and the
// release is recorded, or until ctx is done. Run must still be running.
func (m *Manager) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.closeAll()
	m.TriggerPlan()
	if err := waitUntil(ctx, m.idle); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := waitUntil(ctx, m.released); err != nil {
		m.config.Log.Warn("release not recorded in ledger before shutdown", "error", err)
	}
	return nil
}

func waitUntil(ctx context.Context, condition func() bool) error {
	for !condition() {
		if err := task.Sleep(ctx, drainPollInterval); err != nil {
			return err
		}
	}
	return nil
}

// released reports whether the ledger no longer lists this session and no claim
// is in progress.
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
	return m.leaveSeen && !m.dirty
}

// closeAll refuses new work before the release is recorded in the ledger.
func (m *Manager) closeAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for target, o := range m.current {
		m.closeOwner(target, o)
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
