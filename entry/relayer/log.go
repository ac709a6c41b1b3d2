package relayer

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// logQueueSize bounds the number of unwritten lines, including those of the
	// batch that is being written. Further lines are dropped and counted.
	logQueueSize = 2048
	// flushTimeout bounds how long Flush waits for queued lines.
	flushTimeout = 300 * time.Millisecond
)

// LogWriter writes lines in the background so that a slow reader never blocks
// the event loop. Lines beyond the queue size are dropped, and their number is
// logged later.
type LogWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	// unwritten is the number of lines that count towards logQueueSize.
	unwritten atomic.Int64
	pending   sync.WaitGroup
}

// NewLogWriter returns a LogWriter that writes to out.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{out: out, lines: make(chan []byte, logQueueSize)}
	go w.run()
	return w
}

// Write queues a line without blocking.
func (w *LogWriter) Write(line []byte) (int, error) {
	if w.unwritten.Add(1) > logQueueSize {
		w.unwritten.Add(-1)
		w.dropped.Add(1)
		return len(line), nil
	}
	w.pending.Add(1)
	// Never blocks: the channel has a place for each unwritten line.
	w.lines <- append([]byte(nil), line...)
	return len(line), nil
}

func (w *LogWriter) run() {
	batch := make([]byte, 0, 64<<10)
	for line := range w.lines {
		batch = append(batch[:0], line...)
		n := 1
		for more := true; more && len(batch) < 32<<10; {
			select {
			case line = <-w.lines:
				batch = append(batch, line...)
				n++
			default:
				more = false
			}
		}
		if d := w.dropped.Swap(0); d > 0 {
			batch = fmt.Appendf(batch, "{\"level\":\"warning\",\"msg\":\"log: lines were dropped\",\"lines\":%d}\n", d)
		}
		// An error means that nothing reads the log, and there is no other place to
		// report it.
		_, _ = w.out.Write(batch)
		w.unwritten.Add(int64(-n))
		w.pending.Add(-n)
	}
}

// Flush waits until all queued lines are written or flushTimeout has passed.
func (w *LogWriter) Flush() {
	done := make(chan struct{})
	go func() {
		w.pending.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(flushTimeout):
	}
}
