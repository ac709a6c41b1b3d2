package keeper

import "github.com/godwitrelay/godwitrelay/core/loader"

// Bounds of the settings that can also be changed while running.
const (
	maxDelayMs          = 600_000
	maxRetentionMs      = 7 * 24 * 3_600_000
	maxAppendsPerSecond = 1_000_000
)

// Settings are the properties of the platform. Make them with
// [DefaultSettings], so that an explicit 0 stays 0.
type Settings struct {
	// RetentionMs is how long a log record is kept.
	RetentionMs int64 `json:"retentionMs"`
	// AppendsPerSecond bounds the appends of all streams together.
	AppendsPerSecond int64 `json:"appendsPerSecond"`
	// MaxRecordBytes bounds one record.
	MaxRecordBytes int64 `json:"maxRecordBytes"`
	// MaxStreamBytes bounds one stream; the oldest records go first.
	MaxStreamBytes int64 `json:"maxStreamBytes"`
	// MaxPageRecords bounds the records of one page.
	MaxPageRecords int64 `json:"maxPageRecords"`
	// AppendDelayMs and ReadDelayMs are the times that one append and one read
	// of the log take.
	AppendDelayMs int64 `json:"appendDelayMs"`
	ReadDelayMs   int64 `json:"readDelayMs"`
	// ListLagMs is the time until a change shows in the VM list.
	ListLagMs int64 `json:"listLagMs"`
	// MaxLeaseMs bounds the lease that a holder can ask for.
	MaxLeaseMs int64 `json:"maxLeaseMs"`
	// UsageLagMs is the time until a usage report shows in the log.
	UsageLagMs int64 `json:"usageLagMs"`
	// UsageShuffleMs bounds a random time on top of UsageLagMs, by which
	// reports change their order.
	UsageShuffleMs int64 `json:"usageShuffleMs"`
	// UsageRepeatPercent of the reports show in the log twice.
	UsageRepeatPercent int64 `json:"usageRepeatPercent"`
	// Seed starts the source of randomness.
	Seed uint64 `json:"seed"`
}

// DefaultSettings returns the settings used where a file says nothing.
func DefaultSettings() Settings {
	return Settings{
		RetentionMs:        600_000,
		AppendsPerSecond:   300,
		MaxRecordBytes:     1 << 20,
		MaxStreamBytes:     64 << 20,
		MaxPageRecords:     1000,
		AppendDelayMs:      3,
		ListLagMs:          1000,
		MaxLeaseMs:         60_000,
		UsageLagMs:         2000,
		UsageShuffleMs:     1000,
		UsageRepeatPercent: 5,
		Seed:               1,
	}
}

// Check records every value that is out of its range.
func (s *Settings) Check(f *loader.Faults) {
	f.Range("maxRecordBytes", &s.MaxRecordBytes, 0, 16, 16<<20)
	f.Range("maxStreamBytes", &s.MaxStreamBytes, 0, s.MaxRecordBytes, 1<<30)
	f.Range("maxPageRecords", &s.MaxPageRecords, 0, 1, 100_000)
	f.Range("maxLeaseMs", &s.MaxLeaseMs, 0, 1, 24*3_600_000)
	s.checkChangeable(f)
}

func (s *Settings) checkChangeable(f *loader.Faults) {
	f.Range("retentionMs", &s.RetentionMs, 0, 1, maxRetentionMs)
	f.Range("appendsPerSecond", &s.AppendsPerSecond, 0, 1, maxAppendsPerSecond)
	f.Range("appendDelayMs", &s.AppendDelayMs, 0, 0, maxDelayMs)
	f.Range("readDelayMs", &s.ReadDelayMs, 0, 0, maxDelayMs)
	f.Range("listLagMs", &s.ListLagMs, 0, 0, maxDelayMs)
	f.Range("usageLagMs", &s.UsageLagMs, 0, 0, maxDelayMs)
	f.Range("usageShuffleMs", &s.UsageShuffleMs, 0, 0, maxDelayMs)
	f.Range("usageRepeatPercent", &s.UsageRepeatPercent, 0, 0, 100)
}
