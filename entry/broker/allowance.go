package broker

// allowanceState is what a service has used of its allowance, in slot
// milliseconds. The platform's total lags, so what was settled within the lag
// is added to it. Work that is admitted but not settled holds a reservation.
type allowanceState struct {
	totalMs    int64
	reservedMs int64
	recent     []settled
	recentMs   int64
}

// settled is the work that ended in one second.
type settled struct {
	second int64
	slotMs int64
}

// usageLagMs is how old work must be to be sure to be in the platform's total.
const usageLagMs = 10_000

// reservation is what a task holds of the allowance until it is settled.
func (svc *service) reservation(taskMs int64) int64 {
	if svc.allowance == 0 {
		return 0
	}
	return taskMs
}

// affordable reports whether the allowance leaves room for more work. The
// domains divide what is left, so that together they do not exceed it.
func (svc *service) affordable(workMs int64) bool {
	if svc.allowance == 0 {
		return true
	}
	left := (svc.allowance - svc.totalMs) / int64(svc.domains)
	return svc.reservedMs+svc.recentMs+workMs <= left
}

// spend records work that has ended.
func (svc *service) spend(now, slotMs int64) {
	if svc.allowance == 0 {
		return
	}
	second := now / (1000 * ms)
	if n := len(svc.recent); n == 0 || svc.recent[n-1].second != second {
		svc.recent = append(svc.recent, settled{second: second})
	}
	svc.recent[len(svc.recent)-1].slotMs += slotMs
	svc.recentMs += slotMs
}

// correct takes the platform's total, which contains what is older than the
// lag.
func (s *State) correct(m Usage) {
	s.usage[m.Service] = m.SlotMs
	svc := s.services[m.Service]
	if svc == nil {
		return
	}
	svc.totalMs = m.SlotMs
	n := 0
	for n < len(svc.recent) && (svc.recent[n].second+1)*1000*ms <= s.now-usageLagMs*ms {
		svc.recentMs -= svc.recent[n].slotMs
		n++
	}
	svc.recent = svc.recent[n:]
}
