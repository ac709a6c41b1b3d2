// Package attacker plays clients that keep to no limit of an entry: they send large or
// unfinished requests, or requests without end, and keep their connections open.
package attacker

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// MaxBodyBytes is the limit for bodies of callers.
	MaxBodyBytes = 262144
	// connections is how many connections a client opens one after the other if the
	// entry closes them.
	connections = 3
	// maxSent limits what is sent on a connection by clients that send without end.
	maxSent = 4 << 20
	// pause is the time between two pieces of a body.
	pause = 2 * time.Millisecond
	// blockedAfter is the time after which a client whose data is not read gives up sending.
	blockedAfter = 5 * time.Second
	// dialTimeout limits the time for a connection.
	dialTimeout = 30 * time.Second
	// jobsPerClient is the number of jobs that a client pipelines.
	jobsPerClient = 100
	// wholeShare is the part of the clients with large bodies that send all of it, as a
	// divisor.
	wholeShare = 8
)

// Port is a server of an entry.
type Port int

// The servers.
const (
	Callers Port = iota
	Ready
	Peers
	Metrics
)

// Attack sends bytes on a new connection until Run returns or send fails.
type Attack struct {
	Name string
	Port Port
	// Run sends the requests of a client, whose jobs are numbered from job on.
	Run func(job int, send func(string) error)
}

// Finishes reports whether a client sends a whole job, which may start then.
func (a Attack) Finishes(client int) bool {
	switch a.Name {
	case "WholeBodies":
		return client%wholeShare == 0
	case "BodiesOfSteps", "PipelinedJobs", "LongJobs", "UnreadResults":
		return true
	}
	return false
}

// JobNumber returns the number of the first job of a client.
func JobNumber(client int) int { return client * jobsPerClient }

// Dialect is what the attacks need to know of a program's interface.
type Dialect struct {
	Host string
	// JobPath returns the path to which a client submits a job, and Job is the body.
	JobPath func(number int) string
	Job     string
	// LongPath and LongJob are those of a job of a low priority that outlasts the attack.
	LongPath func(number int) string
	LongJob  string
	// LargeJob is the body of a job whose result is as large as possible.
	LargeJob string
	// ManyElements is a body of MaxBodyBytes of small elements.
	ManyElements string
	// Lookup is the path of a request that is answered at once, and ReadyPath and
	// MetricsPath are those on these servers.
	Lookup, ReadyPath, MetricsPath string
}

// Play runs one client against an address and keeps its last connection open until ctx
// ends. It calls sent once the client has sent all, or is blocked.
func (a Attack) Play(ctx context.Context, address string, client int, sent func()) {
	for range connections {
		c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
		if err != nil {
			continue
		}
		var failed error
		a.Run(JobNumber(client), func(data string) error {
			_ = c.SetWriteDeadline(time.Now().Add(blockedAfter))
			_, failed = io.WriteString(c, data)
			return failed
		})
		if failed == nil || errors.Is(failed, os.ErrDeadlineExceeded) {
			sent()
			<-ctx.Done()
			_ = c.Close()
			return
		}
		_ = c.Close()
	}
	sent()
}

// Attacks returns the attacks on a program.
func Attacks(d Dialect) []Attack {
	post := func(job int, field string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s\r\n\r\n", d.JobPath(job), d.Host, field)
	}
	get := func(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: " + d.Host + "\r\n" }
	text := func(n int) string { return strings.Repeat("x", n) }
	// A padded body is legal: the padding is insignificant white space.
	padded := func(n int) string { return d.Job + strings.Repeat(" ", n-len(d.Job)) }
	inPieces := func(body string, piece int, send func(string) error) {
		for ; body != "" && send(body[:min(piece, len(body))]) == nil; body = body[min(piece, len(body)):] {
			time.Sleep(pause)
		}
	}
	chunked := func(job, size, count int, send func(string) error) {
		if send(post(job, "Transfer-Encoding: chunked")) != nil {
			return
		}
		chunk := fmt.Sprintf("%x\r\n%s\r\n", size, text(size))
		// Several chunks a write, as a client's buffer would send them.
		batch := max(1, 16<<10/len(chunk))
		for sent := 0; sent < count && send(strings.Repeat(chunk, batch)) == nil; sent += batch {
			time.Sleep(pause)
		}
	}
	endless := func(first, more string, send func(string) error) {
		if send(first) != nil {
			return
		}
		more = strings.Repeat(more, 1+8<<10/len(more))
		for sent := 0; sent < maxSent && send(more) == nil; sent += len(more) {
			time.Sleep(pause)
		}
	}
	length := "Content-Length: " + strconv.Itoa(MaxBodyBytes)
	return []Attack{
		{"WholeBodies", Callers, func(job int, send func(string) error) {
			body := padded(MaxBodyBytes)
			if job/jobsPerClient%wholeShare != 0 {
				body = body[:len(body)-1]
			}
			_ = send(post(job, length) + body)
		}},
		{"BodiesOfSteps", Callers, func(job int, send func(string) error) {
			_ = send(post(job, "Content-Length: "+strconv.Itoa(len(d.ManyElements))) + d.ManyElements)
		}},
		{"BodiesInPieces", Callers, func(job int, send func(string) error) {
			if send(post(job, length)) == nil {
				inPieces(padded(MaxBodyBytes)[:MaxBodyBytes-1], 16<<10, send)
			}
		}},
		{"LargeChunks", Callers, func(job int, send func(string) error) { chunked(job, 64<<10-1, 4, send) }},
		{"SmallChunks", Callers, func(job int, send func(string) error) { chunked(job, 1, MaxBodyBytes-1, send) }},
		{"LargeHeads", Callers, func(job int, send func(string) error) {
			_ = send(post(job, "Content-Length: 2\r\nX-Filler: "+text(900<<10)) + "{}")
		}},
		{"EndlessHeaderField", Callers, func(_ int, send func(string) error) {
			endless(get(d.Lookup)+"X-Filler: ", "x", send)
		}},
		{"EndlessHeaderFields", Callers, func(_ int, send func(string) error) {
			endless(get(d.Lookup), "a:b\r\nc:d\r\n", send)
		}},
		{"HeadsThatStopShort", Callers, func(_ int, send func(string) error) {
			var b strings.Builder
			for i := 0; b.Len() < 15<<10; i++ {
				fmt.Fprintf(&b, "x%x:\r\n", i)
			}
			_ = send(get(d.Lookup) + b.String())
		}},
		{"EmptyLines", Callers, func(_ int, send func(string) error) { endless("\r\n", "\r\n", send) }},
		{"BodiesForNoQueue", Callers, func(_ int, send func(string) error) {
			_ = send("POST /none HTTP/1.1\r\nHost: " + d.Host + "\r\n" + length + "\r\n\r\n" + text(MaxBodyBytes-1))
		}},
		{"PeerBodies", Peers, func(_ int, send func(string) error) {
			const size = 1 << 20
			if send("POST /peer/v1/jobs HTTP/1.1\r\nHost: e\r\nContent-Length: "+strconv.Itoa(size)+"\r\n\r\n") == nil {
				inPieces(`{"entry":"`+text(size-11), 64<<10, send)
			}
		}},
		{"ReadyHeads", Ready, func(_ int, send func(string) error) {
			endless(get(d.ReadyPath)+"X-Filler: ", "x", send)
		}},
		{"MetricsHeads", Metrics, func(_ int, send func(string) error) {
			endless(get(d.MetricsPath)+"X-Filler: ", "x", send)
		}},
		{"PipelinedLookups", Callers, func(_ int, send func(string) error) {
			// The answers are not read.
			lookups := strings.Repeat(get(d.Lookup)+"\r\n", 100)
			for sent := 0; sent < maxSent && send(lookups) == nil; sent += len(lookups) {
				time.Sleep(pause)
			}
		}},
		{"PipelinedJobs", Callers, func(job int, send func(string) error) {
			var b strings.Builder
			for i := range jobsPerClient {
				b.WriteString(post(job+i, "Content-Length: "+strconv.Itoa(len(d.Job))) + d.Job)
			}
			_ = send(b.String())
		}},
		{"LongJobs", Callers, func(job int, send func(string) error) {
			_ = send("POST " + d.LongPath(job) + " HTTP/1.1\r\nHost: " + d.Host + "\r\nX-Time-Remaining: 120000\r\nContent-Length: " +
				strconv.Itoa(len(d.LongJob)) + "\r\n\r\n" + d.LongJob)
		}},
		{"UnreadResults", Callers, func(job int, send func(string) error) {
			for i := range 8 {
				if send(post(job+i, "Content-Length: "+strconv.Itoa(len(d.LargeJob)))+d.LargeJob) != nil {
					return
				}
			}
		}},
	}
}
