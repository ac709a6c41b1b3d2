package broker

const (
	initialTokens  = 10
	maxTokens      = 100
	tokensPerStart = 0.1
)

// retryBudget is a token bucket that limits the retries of a team at a service
// to a tenth of its task starts, so that retries can't multiply the load on
// failing targets.
type retryBudget struct{ tokens float64 }

func (svc *service) retryBudget(t *team) *retryBudget {
	b := svc.retryBudgets[t]
	if b == nil {
		b = &retryBudget{tokens: initialTokens}
		svc.retryBudgets[t] = b
	}
	return b
}

func (b *retryBudget) deposit() { b.tokens = min(b.tokens+tokensPerStart, maxTokens) }

// withdraw takes one token and reports whether there was one.
func (b *retryBudget) withdraw() bool {
	// Ten deposits of 0.1 may sum to slightly less than 1 in floating point.
	if b.tokens < 1-1e-9 {
		return false
	}
	b.tokens--
	return true
}
