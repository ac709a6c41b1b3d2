package main

import (
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/godwitrelay/godwitrelay/core/loader"
)

// Settings is the configuration file of godwitctl on an operator's workstation.
type Settings struct {
	// Platform is the platform's address, IP:port.
	Platform string `json:"platform"`
	// Entries are the addresses (IP:port) at which the entries serve the operator
	// API: operatorAddress in the settings of each entry.
	Entries []string `json:"entries"`
	// Author is the operator's name recorded with each change.
	Author string `json:"author"`
	// HistoryFile is the file to which apply appends one line of JSON when it
	// proposes a change, and another when the change is accepted or is lost
	// because its base is not in force. No history is kept if it is empty.
	HistoryFile string `json:"historyFile"`
}

// Check validates the fields that are set. Every field is optional here; each
// command checks that the fields it needs are present.
func (s *Settings) Check(f *loader.Problems) {
	if s.Platform != "" {
		f.CheckAddress("platform", s.Platform)
	}
	for i, e := range s.Entries {
		f.CheckAddress(fmt.Sprintf("entries[%d]", i), e)
	}
	if s.Author != "" {
		f.CheckName("author", s.Author)
	}
}

// loadSettings reads the file named by --settings, if any, and overrides its
// fields with those given on the command line.
func loadSettings(cmd *cli.Command) (Settings, error) {
	var s Settings
	if path := cmd.String("settings"); path != "" {
		if err := loader.Load(path, &s); err != nil {
			return Settings{}, withExitCode(exitUsage, err)
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
	var f loader.Problems
	s.Check(&f)
	if err := f.Err(); err != nil {
		return Settings{}, withExitCode(exitUsage, err)
	}
	return s, nil
}

// openHistory opens the history file for appending. It returns nil if none is
// configured.
func (s Settings) openHistory() (*os.File, error) {
	if s.HistoryFile == "" {
		return nil, nil
	}
	return os.OpenFile(s.HistoryFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
}
