package main

import (
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/godwitrelay/godwitrelay/core/loader"
)

// Settings are those of an operator's workstation.
type Settings struct {
	// Platform is the platform's IP:port.
	Platform string `json:"platform"`
	// Entries are the operator addresses of the entries.
	Entries []string `json:"entries"`
	// Author is recorded with changes.
	Author string `json:"author"`
	// HistoryFile receives a record of each change, one JSON object a line.
	// Empty for none.
	HistoryFile string `json:"historyFile"`
}

// Check records the faults of s. Every field may be empty: each command asks for
// those that it needs.
func (s *Settings) Check(f *loader.Faults) {
	if s.Platform != "" {
		f.Address("platform", s.Platform)
	}
	for i, e := range s.Entries {
		f.Address(fmt.Sprintf("entries[%d]", i), e)
	}
	if s.Author != "" {
		f.Name("author", s.Author)
	}
}

// loadSettings reads the file named on the command line, if any, and lets the
// other options override it.
func loadSettings(cmd *cli.Command) (Settings, error) {
	var s Settings
	if path := cmd.String("settings"); path != "" {
		if err := loader.Load(path, &s); err != nil {
			return Settings{}, exit(exitUsage, err)
		}
	}
	if cmd.IsSet("platform") {
		s.Platform = cmd.String("platform")
	}
	if cmd.IsSet("entry") {
		s.Entries = cmd.StringSlice("entry")
	}
	if cmd.IsSet("author") {
		s.Author = cmd.String("author")
	}
	var f loader.Faults
	s.Check(&f)
	if err := f.Err(); err != nil {
		return Settings{}, exit(exitUsage, err)
	}
	return s, nil
}

// openHistory opens the history file for appending. It returns nil without one.
func (s Settings) openHistory() (*os.File, error) {
	if s.HistoryFile == "" {
		return nil, nil
	}
	return os.OpenFile(s.HistoryFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
}
