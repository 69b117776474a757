package relay

import (
	"time"

	"bamboorail.example/bamboorail"
)

// maxConfigurationAge is the age of the configuration up to which a key that it does not
// list is unknown. A key that was added later may be valid.
const maxConfigurationAge = 3 * time.Second

// authenticate determines the workspace of the call. It is done once, at the instance that
// received the call from its caller; the key is not passed on. An instance that has no
// workspaces yet passes the key on, and the next one determines the workspace.
func (x *exchange) authenticate() error {
	const op = "authenticate-call"
	resolved := x.forwarded != nil && x.forwarded.Workspace != ""
	if !x.table.HasWorkspaces() && !resolved {
		return nil
	}
	var workspace bamboorail.Workspace
	var known bool
	if resolved {
		// This instance may not have learned of the workspace yet.
		x.call.Workspace = x.forwarded.Workspace
		workspace, known = x.table.Workspace(x.forwarded.Workspace)
	} else if workspace, known = x.table.Authenticate(x.call.Credential); known {
		x.call.Workspace = workspace.Name
	}
	x.call.Credential, x.call.Authenticated = bamboorail.Credential{}, true
	x.h.Ingress.RemoveCredential(x.call.Header)
	if known && workspace.HasPriority {
		x.route.Priority = workspace.Priority
	}
	switch {
	case known || x.route.Public || x.call.Workspace != "":
		return nil
	case x.h.ConfigurationAge() > maxConfigurationAge:
		return notRun(op, bamboorail.KindUnavailable, defaultRetryAfter, errKeyUnconfirmed)
	}
	return notRun(op, bamboorail.KindUnauthenticated, 0, errUnknownKey)
}

const (
	// creditWaitDivisor is the divisor of the objective that gives the longest wait for
	// credit: later refusals cost callers. defaultCreditWait applies without an objective.
	creditWaitDivisor = 8
	defaultCreditWait = 50 * time.Millisecond
)

// takeCredit spends the quota of the workspace. It is done once, at the instance that received
// the call from its caller, and before the body is read.
func (x *exchange) takeCredit() error {
	if x.h.Quotas == nil || x.forwarded != nil || x.call.Workspace == "" {
		return nil
	}
	w, known := x.table.Workspace(x.call.Workspace)
	if !known {
		return nil
	}
	refund, err := x.h.Quotas.Admit(x.r.Context(), w, w.Quota.Cost(x.call.Size), CreditWait(x.route))
	if err != nil {
		return err
	}
	x.refund = refund
	return nil
}
