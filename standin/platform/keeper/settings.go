package keeper

import "github.com/godwitrelay/godwitrelay/core/loader"

// Upper bounds of the settings that can be changed at run time.
const (
	maxDelayMs          = 600_000
	maxRetentionMs      = 7 * 24 * 3_600_000
	maxAppendsPerSecond = 1_000_000
)

// Settings configures the platform. Start from [DefaultSettings]: defaults are
// not filled in later, so that an explicit 0 is preserved.
type Settings struct {
	// RetentionMs is the retention of log records.
	RetentionMs int64 `json:"retentionMs"`
	// AppendsPerSecond limits the total append rate of all streams.
	AppendsPerSecond int64 `json:"appendsPerSecond"`
	// MaxRecordBytes limits the size of a record.
	MaxRecordBytes int64 `json:"maxRecordBytes"`
	// MaxStreamBytes limits the size of a stream; the oldest records are
	// dropped first.
	MaxStreamBytes int64 `json:"maxStreamBytes"`
	// MaxPageRecords limits the number of records per page.
	MaxPageRecords int64 `json:"maxPageRecords"`
	// AppendDelayMs and ReadDelayMs are the latencies of log appends and reads.
	AppendDelayMs int64 `json:"appendDelayMs"`
	ReadDelayMs   int64 `json:"readDelayMs"`
	// ListLagMs is the delay until a lease change appears in the VM list.
	ListLagMs int64 `json:"listLagMs"`
	// MaxLeaseMs is the maximum lease duration.
	MaxLeaseMs int64 `json:"maxLeaseMs"`
	// UsageLagMs is the delay until a report appears in the usage stream.
	UsageLagMs int64 `json:"usageLagMs"`
	// UsageShuffleMs is the maximum random delay added to UsageLagMs, which
	// reorders reports.
	UsageShuffleMs int64 `json:"usageShuffleMs"`
	// UsageRepeatPercent is the percentage of reports that appear twice in the
	// usage stream.
	UsageRepeatPercent int64 `json:"usageRepeatPercent"`
	// Seed determines the random delays and repetitions of usage reports.
	Seed uint64 `json:"seed"`
}

// DefaultSettings returns the values of fields that the settings file omits.
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

// Check records every value that is out of range.
func (s *Settings) Check(f *loader.Problems) {
	f.CheckRange("maxRecordBytes", &s.MaxRecordBytes, 0, 16, 16<<20)
	f.CheckRange("maxStreamBytes", &s.MaxStreamBytes, 0, s.MaxRecordBytes, 1<<30)
	f.CheckRange("maxPageRecords", &s.MaxPageRecords, 0, 1, 100_000)
	f.CheckRange("maxLeaseMs", &s.MaxLeaseMs, 0, 1, 24*3_600_000)
	s.checkMutable(f)
}

func (s *Settings) checkMutable(f *loader.Problems) {
	f.CheckRange("retentionMs", &s.RetentionMs, 0, 1, maxRetentionMs)
	f.CheckRange("appendsPerSecond", &s.AppendsPerSecond, 0, 1, maxAppendsPerSecond)
	f.CheckRange("appendDelayMs", &s.AppendDelayMs, 0, 0, maxDelayMs)
	f.CheckRange("readDelayMs", &s.ReadDelayMs, 0, 0, maxDelayMs)
	f.CheckRange("listLagMs", &s.ListLagMs, 0, 0, maxDelayMs)
	f.CheckRange("usageLagMs", &s.UsageLagMs, 0, 0, maxDelayMs)
	f.CheckRange("usageShuffleMs", &s.UsageShuffleMs, 0, 0, maxDelayMs)
	f.CheckRange("usageRepeatPercent", &s.UsageRepeatPercent, 0, 0, 100)
}
