package relay

import (
	"net/http"
	"testing"

	"bamboorail.example/bamboorail"
)

// TestUnreachableTargetIsNotTriedAgain guards against a call that is sent to the same closed port until its attempts are used up.
func TestUnreachableTargetIsNotTriedAgain(t *testing.T) {
	for name, spec := range map[string]bamboorail.RouteSpec{"once": once, "always": always, "resumable": resumable} {
		t.Run(name, func(t *testing.T) {
			closed := newTarget(t, "a")
			_ = closed.listener.Close()
			script := answer("whole")
			if spec.Streaming {
				script = stream(true, event(1))
			}
			b := newTestRelay(t, spec, closed, newTarget(t, "b", script))
			if got := b.call(t, http.MethodPost, "/p/x", "body"); got.status != http.StatusOK || len(b.chooser.releasedResults()) != 2 {
				t.Errorf("answer %+v, results %v", got, b.chooser.releasedResults())
			}
		})
	}
}
