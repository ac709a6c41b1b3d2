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

// Log holds the records of one process from start to exit, in the order in
// which it wrote them. A restarted process writes a new log.
type Log struct {
	Name    string
	Records []recorder.Record
}

// History holds the logs of all processes of a run.
type History []Log

// Position is a record with its location: the log's name and the line number,
// counted from 1.
type Position struct {
	Log    string
	Line   int
	Record recorder.Record
}

// Read reads one log from a file of JSON lines. A process that is killed during
// a write leaves a last line without a line feed; that line is dropped if it is
// not valid JSON.
func Read(path string) (Log, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Log{}, errors.Wrap(err, "reading the history file")
	}
	return Parse(filepath.Base(path), data)
}

// ReadAll reads every .jsonl file in the directory folder, in order of file
// name.
func ReadAll(folder string) (History, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.jsonl"))
	if err != nil {
		return nil, errors.Wrap(err, "listing the history files")
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

// Parse parses the content of a history file. See [Read] for its format.
func Parse(name string, data []byte) (Log, error) {
	log := Log{Name: name}
	for lineNumber := 1; len(data) > 0; lineNumber++ {
		line, rest, terminated := bytes.Cut(data, []byte{'\n'})
		data = rest
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		var r recorder.Record
		if err := json.Unmarshal(line, &r); err != nil {
			if !terminated {
				break
			}
			return Log{}, errors.Wrapf(err, "history %s, line %d", name, lineNumber)
		}
		log.Records = append(log.Records, r)
	}
	return log, nil
}
