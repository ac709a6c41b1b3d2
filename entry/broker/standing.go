package broker

// standingQueue detects a standing queue of urgent work by the minimum of its
// backlog over a window. A burst may fill the queue for a while. A queue that
// never empties delays every job without a gain in throughput: as many jobs
// finish with a short queue.
type standingQueue struct {
	// windowMin is the minimum backlog in the current window and previousMin the
	// minimum backlog in the previous window, in milliseconds.
	windowMin   int64
	previousMin int64
	windowEnds  int64
}

// standingWindowMs is longer than a pool with a load below its capacity needs to
// free slots.
const standingWindowMs = 100

// observe records the current backlog of urgent work.
func (q *standingQueue) observe(backlogMs, now int64) {
	if now >= q.windowEnds {
		q.previousMin, q.windowMin = q.windowMin, backlogMs
		q.windowEnds = now + standingWindowMs*ms
	}
	q.windowMin = min(q.windowMin, backlogMs)
}

// exceeds reports whether work of the given run time has to wait longer than
// percent of it, now and throughout the previous window. A percent of 0 or below
// means no limit.
func (q *standingQueue) exceeds(backlogMs, runMs int64, percent int) bool {
	limit := runMs * int64(percent) / 100
	return percent > 0 && q.previousMin > limit && backlogMs > limit
}
