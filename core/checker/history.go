package checker

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"sort"

	"github.com/cockroachdb/errors"

	"github.com/godwitrelay/godwitrelay/core/recorder"
)

// Log is what one run of one process recorded, in the order in which it
// happened there. A restarted process has a log of its own.
type Log struct {
	Name    string
	Records []recorder.Record
}

// History is the logs of all processes of a run.
type History []Log

// Place is a record and where it stands: the log's name and the line, from 1.
type Place struct {
	Log    string
	Line   int
	Record recorder.Record
}

// Read reads one log from a file of JSON lines. A last line without a line
// feed is what a killed process was writing, and is dropped if it is cut off.
func Read(path string) (Log, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Log{}, errors.Wrap(err, "reading the history")
	}
	return Parse(filepath.Base(path), data)
}

// ReadAll reads every file of the folder that ends in .jsonl, by name.
func ReadAll(folder string) (History, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.jsonl"))
	if err != nil {
		return nil, errors.Wrap(err, "listing the histories")
	}
	sort.Strings(paths)
	var h History
	for _, p := range paths {
		log, err := Read(p)
		if err != nil {
			return nil, err
		}
		h = append(h, log)
	}
	return h, nil
}

// Parse is [Read] for data that was read before.
func Parse(name string, data []byte) (Log, error) {
	log := Log{Name: name}
	for line := 1; len(data) > 0; line++ {
		text, rest, whole := bytes.Cut(data, []byte{'\n'})
		data = rest
		if len(bytes.TrimSpace(text)) == 0 {
			continue
		}
		var r recorder.Record
		if err := json.Unmarshal(text, &r); err != nil {
			if !whole {
				break
			}
			return Log{}, errors.Wrapf(err, "history %s, line %d", name, line)
		}
		log.Records = append(log.Records, r)
	}
	return log, nil
}
