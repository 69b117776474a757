package telemetry

// CreditMovement is a movement of quota credit.
type CreditMovement string

// The movements of quota credit. Granted, denied, given and received credit is counted by the
// holder of a zone, the credit of the fallback share by the instance that uses it.
const (
	CreditGranted  CreditMovement = "granted"
	CreditDenied   CreditMovement = "denied"
	CreditGiven    CreditMovement = "given"
	CreditReceived CreditMovement = "received"
	CreditFallback CreditMovement = "fallback"
)

// CreditMoved counts credit of a workspace.
func (m *Metrics) CreditMoved(workspace string, c CreditMovement, amount float64) {
	if amount > 0 {
		m.credit.WithLabelValues(workspace, string(c)).Add(amount)
	}
}

// QuotaExceeded counts a call that was refused because of the quota of its workspace.
func (m *Metrics) QuotaExceeded(workspace string) { m.limited.WithLabelValues(workspace).Inc() }
