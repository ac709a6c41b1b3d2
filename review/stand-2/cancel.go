package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	rollGap      = 2 * time.Second
	lossSlack    = 200 * time.Millisecond
	graceS       = 6 * time.Second
	cancelRounds = 2
	// jobsEach is how many jobs a client hands in that end in time.
	jobsEach = 12
	// slowTakes is how long the task of a client's last job takes, slowEstimate what the
	// client gives as its estimate, and slowPatience how long the client waits.
	slowTakes    = 2 * time.Second
	slowEstimate = 1200 * time.Millisecond
	slowPatience = 1500 * time.Millisecond
)

// cancelCase stops processes in turn, 2 s apart. Clients whose last job was not answered in
// time withdraw it, over connections that were open before.
func cancelCase(rec *record, program string, trouble bool) error {
	s, err := newSite(rec, program)
	if err != nil {
		return err
	}
	defer s.close()
	s.configure(7, prefix)
	for i := range 12 {
		if _, err := s.addRunner(i, "a", 64000, nil); err != nil {
			return err
		}
	}
	const processes = 4
	for i := range processes {
		if _, err := s.startEntry(i); err != nil {
			return err
		}
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	var answered atomic.Int64
	for round := range cancelRounds {
		type client struct {
			conn  net.Conn
			id    string
			entry int
		}
		var clients []client
		type failure struct {
			id  string
			err error
		}
		failures := make(chan failure, processes*6)
		for i := range processes {
			for k := range 6 {
				c := client{entry: i, id: fmt.Sprintf("%016x", 0x5c0e000000000000+jobsEach<<24+round<<16+i<<8+k)}
				c.conn, err = net.Dial("tcp", s.front(i))
				if err != nil {
					return err
				}
				clients = append(clients, c)
				go func() {
					for n := range jobsEach {
						id := fmt.Sprintf("%016x", 0x5c0e000000000000+n<<24+round<<16+i<<8+k)
						j := job{id: id, count: 1, cpu: 1000, takes: 20 * time.Millisecond, patience: slowPatience}
						if status, err := handIn(rec, c.conn, i, j, j.body()); err != nil || status != http.StatusOK {
							failures <- failure{id, fmt.Errorf("status %d, %w", status, err)}
							return
						}
					}
					j := job{id: c.id, count: 1, cpu: 1000, takes: slowEstimate, patience: slowPatience}
					body := bytes.Replace(j.body(), fmt.Appendf(nil, "ms=%d", slowEstimate.Milliseconds()), fmt.Appendf(nil, "ms=%d", slowTakes.Milliseconds()), 1)
					status, err := handIn(rec, c.conn, i, j, body)
					if err == nil && status != http.StatusGatewayTimeout {
						err = fmt.Errorf("status %d, want 504", status)
					}
					failures <- failure{c.id, err}
				}()
			}
		}
		for range clients {
			if f := <-failures; f.err != nil {
				return fmt.Errorf("job %s: %w", f.id, f.err)
			}
		}
		results := make(chan struct{}, len(clients))
		began := time.Now()
		stopped := make([]time.Time, processes)
		for i := range processes {
			stopped[i] = began.Add(time.Duration(i) * rollGap)
		}
		// Each connection cancels once, 2.10 to 2.35 s after its process was told to stop.
		for n, c := range clients {
			go func() {
				defer func() { results <- struct{}{} }()
				defer c.conn.Close()
				at := stopped[c.entry].Add(2100*time.Millisecond + time.Duration(n%6)*50*time.Millisecond)
				time.Sleep(time.Until(at))
				sent := time.Now()
				status, err := exchange(c.conn, fmt.Sprintf("DELETE %s%s HTTP/1.1\r\nHost: %s\r\n\r\n", prefix, c.id, host))
				took := time.Since(sent)
				rec.add("cancel %s at process %d, %d ms after its SIGTERM: %d after %d ms, %v", c.id, c.entry, sent.Sub(stopped[c.entry]).Milliseconds(), status, took.Milliseconds(), err)
				var timeout net.Error
				switch {
				case err == nil:
					answered.Add(1)
				case errors.As(err, &timeout) && timeout.Timeout():
					// The connection has not ended.
				case took > lossSlack:
					rec.breaks("the connection ended %d ms after the cancel was sent, without an answer", took.Milliseconds())
				}
			}()
		}
		for i := range processes {
			time.Sleep(time.Until(stopped[i]))
			if !trouble {
				continue
			}
			s.signal(i, syscall.SIGTERM)
			go func() {
				e := s.entries[i]
				select {
				case <-e.ended:
				case <-time.After(graceS):
					_ = e.cmd.Process.Kill()
				}
			}()
			// It starts again once it has ended.
			if i > 0 {
				if err := s.restartEnded(i - 1); err != nil {
					return err
				}
			}
		}
		for range clients {
			<-results
		}
		if trouble {
			if err := s.restartEnded(processes - 1); err != nil {
				return err
			}
		}
		if err := s.awaitReady(15 * time.Second); err != nil {
			return err
		}
		time.Sleep(4 * time.Second)
	}
	rec.add("%d cancels were answered", answered.Load())
	return nil
}

// handIn hands a job in over a connection.
func handIn(rec *record, c net.Conn, entry int, j job, body []byte) (int, error) {
	status, err := exchange(c, fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nX-Time-Remaining: %d\r\nContent-Length: %d\r\n\r\n%s",
		prefix, j.id, host, j.patience.Milliseconds(), len(body), body))
	rec.add("job %s at process %d: %d %v", j.id, entry, status, err)
	return status, err
}

// restartEnded starts entry i again if it has ended or once it ends.
func (s *site) restartEnded(i int) error {
	select {
	case <-s.entries[i].ended:
	case <-time.After(graceS + time.Second):
		return fmt.Errorf("process %d has not ended", i)
	}
	_, err := s.startEntry(i)
	return err
}

// exchange sends a request on a connection and reads its response.
func exchange(c net.Conn, request string) (int, error) {
	_ = c.SetDeadline(time.Now().Add(6 * time.Second))
	if _, err := c.Write([]byte(request)); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	buf := make([]byte, 4096)
	for {
		if _, err := resp.Body.Read(buf); err != nil {
			break
		}
	}
	return resp.StatusCode, nil
}
