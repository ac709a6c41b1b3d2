package broker

// allowanceState tracks how much of its allowance a service has used, in slot
// milliseconds. The platform's total (reportedMs) lags behind, so the work that
// ended within the lag (unreportedMs) is added to it. Admitted tasks have a
// reservation (reservedMs) until they end.
type allowanceState struct {
	reportedMs   int64
	reservedMs   int64
	unreported   []usageSecond
	unreportedMs int64
}

// usageSecond is the usage of the tasks that ended within one second.
type usageSecond struct {
	second int64
	slotMs int64
}

// usageLagMs is the age from which ended work is certain to be included in the
// platform's total.
const usageLagMs = 10_000

// reservation returns what a task reserves of the allowance until it ends.
func (svc *service) reservation(taskMs int64) int64 {
	if svc.allowance == 0 {
		return 0
	}
	return taskMs
}

// fitsAllowance reports whether the remaining allowance covers more work of
// workMs. Each failure domain uses an equal part of the remainder, so that
// together they do not exceed it.
func (svc *service) fitsAllowance(workMs int64) bool {
	if svc.allowance == 0 {
		return true
	}
	left := (svc.allowance - svc.reportedMs) / int64(svc.domainCount)
	return svc.reservedMs+svc.unreportedMs+workMs <= left
}

// recordUsage adds the usage of a task that ended to the unreported usage.
func (svc *service) recordUsage(now, slotMs int64) {
	if svc.allowance == 0 {
		return
	}
	second := now / (1000 * ms)
	if n := len(svc.unreported); n == 0 || svc.unreported[n-1].second != second {
		svc.unreported = append(svc.unreported, usageSecond{second: second})
	}
	svc.unreported[len(svc.unreported)-1].slotMs += slotMs
	svc.unreportedMs += slotMs
}

// handleUsageReported applies the platform's total and drops the unreported
// usage that is older than usageLagMs, which the total includes.
func (s *State) handleUsageReported(m UsageReported) {
	s.reportedUsage[m.Service] = m.SlotMs
	svc := s.services[m.Service]
	if svc == nil {
		return
	}
	svc.reportedMs = m.SlotMs
	n := 0
	for n < len(svc.unreported) && (svc.unreported[n].second+1)*1000*ms <= s.now-usageLagMs*ms {
		svc.unreportedMs -= svc.unreported[n].slotMs
		n++
	}
	svc.unreported = svc.unreported[n:]
}
