package broker

// standing watches for urgent work that waits all the time. A burst may fill
// the queue, but a queue that never empties only makes every job late: as many
// jobs finish with a short one.
type standing struct {
	// least is the shortest backlog in the present window, last that of the
	// window before, in milliseconds.
	least int64
	last  int64
	ends  int64
}

// standingWindowMs is longer than the slots of a pool need to free up when its
// load is below its capacity.
const standingWindowMs = 100

// observe takes the present backlog of urgent work.
func (q *standing) observe(backlogMs, now int64) {
	if now >= q.ends {
		q.last, q.least = q.least, backlogMs
		q.ends = now + standingWindowMs*ms
	}
	q.least = min(q.least, backlogMs)
}

// tooLong reports whether work of the given run time has to wait longer than
// the part of its run time although the queue had time to empty.
func (q *standing) tooLong(backlogMs, runMs int64, percent int) bool {
	limit := runMs * int64(percent) / 100
	return percent > 0 && q.last > limit && backlogMs > limit
}
