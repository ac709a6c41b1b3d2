package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/planner"
)

// entryPollInterval is the delay between two status queries to the entries.
const entryPollInterval = 100 * time.Millisecond

// entryReport is the status of one entry, or the error of querying it.
type entryReport struct {
	address string
	status  messenger.EntryStatus
	err     error
}

// queryEntries requests the status of all entries concurrently.
func queryEntries(ctx context.Context, addresses []string) []entryReport {
	reports := make([]entryReport, len(addresses))
	client := newClient()
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() {
			reports[i] = queryEntry(ctx, client, address)
		})
	}
	wg.Wait()
	return reports
}

func queryEntry(ctx context.Context, client messenger.Client, address string) entryReport {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	r := entryReport{address: address}
	var body json.RawMessage
	status, err := client.Call(ctx, http.MethodGet, "http://"+address+"/operator/v1/status", nil, &body)
	switch {
	case err != nil:
		r.err = err
	case status != http.StatusOK:
		r.err = errors.Newf("unexpected status %d", status)
	default:
		r.err = json.Unmarshal(body, &r.status)
	}
	return r
}

func printEntries(out io.Writer, reports []entryReport) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printf(w, "ENTRY\tDOMAIN\tSTATE\tVERSION\tCHANGE\n")
	for _, r := range reports {
		if r.err != nil {
			printf(w, "%s\t-\tstatus query failed: %v\t-\t-\n", r.address, r.err)
			continue
		}
		printf(w, "%s\t%s\t%s\t%d\t%s\n", r.address, r.status.FailureDomain, stateName(r.status), r.status.ConfigVersion, r.status.ChangeID)
	}
	_ = w.Flush() // like printf, ignores write errors
}

func stateName(s messenger.EntryStatus) string {
	switch {
	case s.Stopping:
		return "stopping"
	case s.Ready:
		return "ready"
	}
	return "not ready"
}

func showCommand(ctx context.Context, cmd *cli.Command) error {
	if err := noArguments(cmd); err != nil {
		return err
	}
	settings, err := loadSettings(cmd)
	if err != nil {
		return err
	}
	out := cmd.Root().Writer
	current, logErr := readLog(ctx, cmd, settings)
	if cmd.Bool("sheet") {
		if logErr != nil {
			return logErr
		}
		if current.Accepted.Version == 0 {
			return withExitCode(exitFailure, errors.New("no configuration has been published yet"))
		}
		_, err := out.Write(planner.WriteSheet(current.Accepted.Configuration))
		return err
	}
	if logErr != nil {
		printf(out, "log: %v\n", logErr)
	} else {
		printf(out, "log: %s\n", current)
	}
	reports := queryEntries(ctx, settings.Entries)
	if len(reports) > 0 {
		printEntries(out, reports)
	}
	if logErr != nil {
		return logErr
	}
	return checkEntryVersions(out, current, reports)
}

// checkEntryVersions returns an error unless every entry reports the version and
// the change of the log.
func checkEntryVersions(out io.Writer, current logState, reports []entryReport) error {
	mismatched := 0
	for _, r := range reports {
		if r.err != nil || r.status.ConfigVersion != current.Accepted.Version || r.status.ChangeID != current.Accepted.ChangeID {
			mismatched++
		}
	}
	switch {
	case mismatched > 0:
		return withExitCode(exitInconsistent, errors.Newf("%d of %d entries did not report the version of the log", mismatched, len(reports)))
	case len(reports) > 0:
		printf(out, "all %d entries have the version of the log\n", len(reports))
	}
	return nil
}

func statusCommand(ctx context.Context, cmd *cli.Command) error {
	if err := noArguments(cmd); err != nil {
		return err
	}
	settings, err := loadSettings(cmd)
	if err != nil {
		return err
	}
	if len(settings.Entries) == 0 {
		return usageError("status requires entries; set --entry or \"entries\" in the settings")
	}
	unreachable := 0
	out := cmd.Root().Writer
	for _, r := range queryEntries(ctx, settings.Entries) {
		if r.err != nil {
			unreachable++
			printf(cmd.Root().ErrWriter, "entry %s: status query failed: %v\n", r.address, r.err)
			continue
		}
		if cmd.Bool("json") {
			if err := json.NewEncoder(out).Encode(r.status); err != nil {
				return err
			}
			continue
		}
		printStatus(out, r)
	}
	if unreachable > 0 {
		return withExitCode(exitInconsistent, errors.Newf("%d of %d entries did not report their status", unreachable, len(settings.Entries)))
	}
	return nil
}

func printStatus(out io.Writer, r entryReport) {
	s := r.status
	printf(out, "entry %s: failure domain %s, %s, version %d, change %s, %d jobs\n",
		r.address, s.FailureDomain, stateName(s), s.ConfigVersion, s.ChangeID, s.Jobs)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, m := range s.Members {
		state := "member"
		if m.Stopping {
			state = "stopping"
		}
		printf(w, "  %s\t%s\tincarnation %x\tcounter %d\n", state, m.Member.Address, m.Member.Incarnation, m.Counter)
	}
	for _, b := range s.Brokered {
		printf(w, "  service\t%s\tshare %d, in use %d\twaiting %d\n", b.Service, b.Share, b.InUse, b.Waiting)
		for _, t := range b.Targets {
			printf(w, "  target\t%s\t%s\tin use %d of %d\n", t.Address, t.State, t.InUse, t.Slots)
		}
	}
	_ = w.Flush()
}

func drainCommand(ctx context.Context, cmd *cli.Command) error {
	address, err := singleArgument(cmd, "the address (IP:PORT) at which the entry serves the operator API")
	if err != nil {
		return err
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return usageError("%q is not an IP address and port, such as 127.0.0.1:7000", address)
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	var body json.RawMessage
	status, err := newClient().Call(ctx, http.MethodPost, "http://"+address+"/operator/v1/drain", nil, &body)
	if err != nil && status == 0 {
		return withExitCode(exitFailure, errors.Wrapf(err, "entry %s does not answer", address))
	}
	if status < 200 || status > 299 {
		return withExitCode(exitFailure, errors.Newf("entry %s rejected the request with status %d: %s", address, status, body))
	}
	printf(cmd.Root().Writer, "entry %s is draining; it exits when its work is done\n", address)
	return nil
}
