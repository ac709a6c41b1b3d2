package main

import (
	"github.com/godwitrelay/godwitrelay/core/loader"
	"github.com/godwitrelay/godwitrelay/standin/platform/keeper"
)

// settings is the decoded settings file.
type settings struct {
	// Listen is the address of the HTTP server.
	Listen string `json:"listen"`
	// LogLevel is one of error, warning, info, debug.
	LogLevel string `json:"logLevel"`
	keeper.Settings
}

// Check implements [loader.Checker]: it fills in defaults and records every
// invalid field.
func (s *settings) Check(f *loader.Problems) {
	f.CheckAddress("listen", s.Listen)
	f.CheckOneOf("logLevel", &s.LogLevel, "info", "error", "warning", "debug")
	s.Settings.Check(f)
}
