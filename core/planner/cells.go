package planner

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"io"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// MaxSheetBytes bounds a sheet. The configuration of the design scale, 84 teams
// and 15 failure domains, has some 10 KB.
const MaxSheetBytes = 1 << 20

// columns are the sheet's columns in the order in which they are written.
var columns = []string{"row", "service", "name", "priority", "slots", "idempotent", "maxRunMs", "allowance"}

// line is one row of a sheet: its number in the file and its cells by column.
type line struct {
	row   int
	cells map[string]string
}

// report records a fault.
type report func(row int, column, format string, args ...any)

// readLines reads the cells of a sheet. Blank rows are left out.
func readLines(data []byte, fault report) []line {
	data = bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))
	if !readable(data, fault) {
		return nil
	}
	r := csv.NewReader(bytes.NewReader(data))
	r.Comma = separator(data)
	r.FieldsPerRecord = -1
	var header []string
	var lines []line
	for {
		record, err := r.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		var syntax *csv.ParseError
		if errors.As(err, &syntax) {
			fault(syntax.Line, "", "the quotes of a cell do not match (character %d)", syntax.Column)
			continue
		}
		if err != nil {
			fault(0, "", "%v", err)
			return nil
		}
		row, _ := r.FieldPos(0)
		trim(record)
		switch {
		case blank(record):
		case header == nil:
			header = readHeader(row, record, fault)
		default:
			lines = append(lines, readLine(row, header, record, fault))
		}
	}
	if header == nil {
		fault(0, "", "there is no header row; expected the columns %s", strings.Join(columns, ", "))
	}
	return lines
}

// readable checks the size and the encoding.
func readable(data []byte, fault report) bool {
	switch {
	case len(data) > MaxSheetBytes:
		fault(0, "", "the file has %d bytes; allowed: %d", len(data), MaxSheetBytes)
	case bytes.HasPrefix(data, []byte("\xff\xfe")), bytes.HasPrefix(data, []byte("\xfe\xff")):
		fault(0, "", "the file is in UTF-16; export it as CSV in UTF-8")
	case bytes.IndexByte(data, '\n') < 0 && bytes.IndexByte(data, '\r') >= 0:
		fault(0, "", "rows end with a carriage return alone; export the file with line feeds")
	case !utf8.Valid(data):
		for i, text := range bytes.Split(data, []byte("\n")) {
			if !utf8.Valid(text) {
				fault(i+1, "", "the row is not valid UTF-8; export the file as CSV in UTF-8")
			}
		}
	default:
		return true
	}
	return false
}

// separator returns the one of comma and semicolon that the first row with
// content uses more often.
func separator(data []byte) rune {
	first := bytes.TrimLeft(data, "\r\n \t")
	if end := bytes.IndexByte(first, '\n'); end >= 0 {
		first = first[:end]
	}
	if bytes.Count(first, []byte(";")) > bytes.Count(first, []byte(",")) {
		return ';'
	}
	return ','
}

func trim(cells []string) {
	for i, c := range cells {
		cells[i] = strings.Trim(c, " \t")
	}
}

func blank(cells []string) bool {
	return strings.Join(cells, "") == ""
}

// readHeader returns the column names by position, empty for positions without
// a usable one.
func readHeader(row int, record []string, fault report) []string {
	header := make([]string, len(record))
	seen := make(map[string]bool)
	for i, cell := range record {
		name := columnNamed(cell)
		switch {
		case cell == "":
		case name == "":
			fault(row, "", "unknown column %q; allowed: %s", cell, strings.Join(columns, ", "))
			header[i] = cell
		case seen[name]:
			fault(row, name, "the column is there twice")
		default:
			header[i] = name
		}
		seen[name] = true
	}
	for _, c := range columns {
		if !seen[c] {
			fault(row, c, "the column is missing")
		}
	}
	return header
}

func columnNamed(cell string) string {
	for _, c := range columns {
		if strings.EqualFold(c, cell) {
			return c
		}
	}
	return ""
}

func readLine(row int, header, record []string, fault report) line {
	l := line{row: row, cells: make(map[string]string, len(columns))}
	for i, cell := range record {
		switch {
		case i < len(header) && header[i] != "":
			l.cells[header[i]] = cell
		case cell != "":
			fault(row, fmt.Sprint(i+1), "the value %q stands in a column without a name", cell)
		}
	}
	return l
}
