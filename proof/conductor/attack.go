package conductor

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/godwitrelay/godwitrelay/proof/attacker"
)

// attackRound is the time after which the clients of an attack open new connections, as
// the entry may have been restarted.
const attackRound = 2 * time.Second

// attacks are the clients that attack entries until the scenario stops them. The zero value
// has none.
type attacks struct {
	stop    []context.CancelFunc
	running sync.WaitGroup
}

// start plays every attack on the callers' and the peers' server of an entry, with the
// given number of clients each.
func (s *attacks) start(p *process, clients int) {
	addresses := map[attacker.Port]string{
		attacker.Callers: p.forwards[p.callerAddress], attacker.Peers: p.forwards[p.announcedAddress], attacker.Metrics: p.controlAddress,
	}
	// Nobody knows the team, so that no task of these jobs starts.
	job := fmt.Sprintf(`{"team":"nobody","service":%q,"requestType":"check","wait":true,"tasks":[{"runMs":1}]}`, service)
	jobPath := func(int) string { return "/v1/jobs" }
	ctx, stop := context.WithCancel(context.Background())
	s.stop = append(s.stop, stop)
	for _, a := range attacker.Attacks(attacker.Dialect{
		Host: "entry", JobPath: jobPath, Job: job, LongPath: jobPath, LongJob: job, LargeJob: job, ManyElements: job,
		Lookup: "/readyz", MetricsPath: "/metrics",
	}) {
		address, ok := addresses[a.Port]
		if !ok {
			continue
		}
		for client := range clients {
			s.running.Go(func() {
				for ctx.Err() == nil {
					round, stop := context.WithTimeout(ctx, attackRound)
					a.Play(round, address, client, func() {})
					// Refused connections end a round early.
					<-round.Done()
					stop()
				}
			})
		}
	}
}

// end stops all attacks.
func (s *attacks) end() {
	for _, stop := range s.stop {
		stop()
	}
	s.running.Wait()
}

// attackCommand implements
//
//	attack ENTRY [clients=N]
//	attack off
//
// It plays all attacks on an entry at the same time, with N clients each (default 4), until
// the scenario turns them off.
func attackCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	clients, err := a.intOption("clients", 4)
	if err != nil {
		return err
	}
	if err := a.validate(1, 1); err != nil {
		return err
	}
	if a.positional[0] == "off" {
		d.attacks.end()
		return nil
	}
	p, err := d.process(a.positional[0])
	switch {
	case err != nil:
		return err
	case p.callerAddress == "":
		return errors.Newf("%s is not an entry", p.name)
	}
	d.attacks.start(p, clients)
	return nil
}
