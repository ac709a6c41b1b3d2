package broker

const (
	firstTokens = 10
	mostTokens  = 100
	earnedToken = 0.1
)

// budget bounds the retries of a team at a service to a tenth of its starts,
// so that retries can't multiply the load of failing targets.
type budget struct{ tokens float64 }

func (svc *service) budget(t *team) *budget {
	b := svc.budgets[t]
	if b == nil {
		b = &budget{tokens: firstTokens}
		svc.budgets[t] = b
	}
	return b
}

func (b *budget) earn() { b.tokens = min(b.tokens+earnedToken, mostTokens) }

// take uses up one token, if there is one.
func (b *budget) take() bool {
	// Tenths add up inexactly; a token that lacks a rounding error counts.
	if b.tokens < 1-1e-9 {
		return false
	}
	b.tokens--
	return true
}
