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

// MaxSheetBytes limits the size of a sheet. At the design scale of 84 teams and
// 15 failure domains a sheet takes about 10 KB.
const MaxSheetBytes = 1 << 20

// columns lists the sheet's columns in the order in which WriteSheet writes them.
var columns = []string{"row", "service", "name", "priority", "slots", "idempotent", "maxRunMs", "allowance"}

// sheetRow is one row of a sheet: the number of the line in the file on which it
// starts, and its cells by column name.
type sheetRow struct {
	number int
	cells  map[string]string
}

// reportFunc records a problem. Row 0 stands for the sheet as a whole, an empty
// column for the row as a whole.
type reportFunc func(row int, column, format string, args ...any)

// readRows reads the rows of a sheet without the header and blank rows.
func readRows(data []byte, report reportFunc) []sheetRow {
	data = bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))
	if !checkEncoding(data, report) {
		return nil
	}
	r := csv.NewReader(bytes.NewReader(data))
	r.Comma = detectSeparator(data)
	r.FieldsPerRecord = -1
	var header []string
	var rows []sheetRow
	for {
		record, err := r.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		var syntax *csv.ParseError
		if errors.As(err, &syntax) {
			report(syntax.Line, "", "malformed quotes in a cell (byte %d)", syntax.Column)
			continue
		}
		if err != nil {
			report(0, "", "%v", err)
			return nil
		}
		rowNumber, _ := r.FieldPos(0)
		trimCells(record)
		switch {
		case isBlank(record):
		case header == nil:
			header = readHeader(rowNumber, record, report)
		default:
			rows = append(rows, readRow(rowNumber, header, record, report))
		}
	}
	if header == nil {
		report(0, "", "there is no header row; the expected columns are %s", strings.Join(columns, ", "))
	}
	return rows
}

// checkEncoding checks the size, the encoding and the line endings of a sheet.
func checkEncoding(data []byte, report reportFunc) bool {
	switch {
	case len(data) > MaxSheetBytes:
		report(0, "", "the file is %d bytes long; the limit is %d", len(data), MaxSheetBytes)
	case bytes.HasPrefix(data, []byte("\xff\xfe")), bytes.HasPrefix(data, []byte("\xfe\xff")):
		report(0, "", "the file is in UTF-16; export it as CSV in UTF-8")
	case bytes.IndexByte(data, '\n') < 0 && bytes.IndexByte(data, '\r') >= 0:
		report(0, "", "rows end with bare carriage returns; export the file with line feeds")
	case !utf8.Valid(data):
		for i, text := range bytes.Split(data, []byte("\n")) {
			if !utf8.Valid(text) {
				report(i+1, "", "the row is not valid UTF-8; export the file as CSV in UTF-8")
			}
		}
	default:
		return true
	}
	return false
}

// detectSeparator returns the more frequent of comma and semicolon in the first
// non-empty row, or a comma if both are equally frequent.
func detectSeparator(data []byte) rune {
	first := bytes.TrimLeft(data, "\r\n \t")
	if end := bytes.IndexByte(first, '\n'); end >= 0 {
		first = first[:end]
	}
	if bytes.Count(first, []byte(";")) > bytes.Count(first, []byte(",")) {
		return ';'
	}
	return ','
}

func trimCells(cells []string) {
	for i, c := range cells {
		cells[i] = strings.Trim(c, " \t")
	}
}

func isBlank(cells []string) bool {
	return strings.Join(cells, "") == ""
}

// readHeader returns the column names by position. The name is empty for an empty
// or duplicate header cell.
func readHeader(rowNumber int, record []string, report reportFunc) []string {
	header := make([]string, len(record))
	seen := make(map[string]bool)
	for i, cell := range record {
		name := findColumn(cell)
		switch {
		case cell == "":
		case name == "":
			report(rowNumber, "", "unknown column %q; allowed: %s", cell, strings.Join(columns, ", "))
			header[i] = cell
		case seen[name]:
			report(rowNumber, name, "the column is duplicated")
		default:
			header[i] = name
		}
		seen[name] = true
	}
	for _, c := range columns {
		if !seen[c] {
			report(rowNumber, c, "the column is missing")
		}
	}
	return header
}

// findColumn returns the column with the name in cell, ignoring case, or an empty
// string if there is none.
func findColumn(cell string) string {
	for _, c := range columns {
		if strings.EqualFold(c, cell) {
			return c
		}
	}
	return ""
}

// readRow assigns the cells of a record to the columns of the header. Cells that
// a short record leaves out are empty.
func readRow(rowNumber int, header, record []string, report reportFunc) sheetRow {
	row := sheetRow{number: rowNumber, cells: make(map[string]string, len(columns))}
	for i := len(record); i < len(header); i++ {
		if header[i] != "" {
			row.cells[header[i]] = ""
		}
	}
	for i, cell := range record {
		switch {
		case i < len(header) && header[i] != "":
			row.cells[header[i]] = cell
		case cell != "":
			report(rowNumber, fmt.Sprint(i+1), "the value %q is in a column whose header is missing or duplicated", cell)
		}
	}
	return row
}
