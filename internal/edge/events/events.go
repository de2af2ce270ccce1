// Package events combines the logs of several hosts into the history of one
// request: its log lines in order of time, each with the state of its host at that
// time.
package events

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLine bounds the length of a log line in bytes.
const maxLine = 1 << 20

// states maps log messages about the state of a host to the part of the state that
// they describe.
var states = map[string]string{
	"started":                "process",
	"stopping":               "process",
	"configuration in force": "configuration",
	"readiness":              "readiness",
	"evacuation":             "evacuation",
	"store lost":             "store",
	"store back":             "store",
	"server":                 "server",
	"server gone":            "server",
	"server leaves":          "server",

	"server wants no requests": "server",
	"server limits requests":   "server",
	"server ended its limit":   "server",

	"server limits its refusals":     "server",
	"server ended its refusal limit": "server",

	"hosts that share limits": "sharing",
	"retry budget":            "retries",

	"lost path to servers":     "path",
	"regained path to servers": "path",

	"prompt part suspected": "prompts",
	"prompt part cleared":   "prompts",
	"request suspected":     "requests",
	"request cleared":       "requests",
}

// parts lists the parts of the state in the order of output.
var parts = []string{"process", "configuration", "store", "readiness", "evacuation", "path", "sharing", "retries", "prompts", "requests", "server"}

// hidden lists the fields that are not printed as key and value.
var hidden = []string{"level", "ts", "msg", "host", "id"}

// kept lists the fields that are printed although their value is zero: 0 is the most urgent
// priority.
var kept = []string{"rank", "priority", "route_priority", "by_rank", "by_route_priority"}

// Line is a parsed log line.
type Line struct {
	At     time.Time
	Host   string
	Msg    string
	Fields map[string]any
}

// field returns the value of a field as text, or an empty string if there is none.
func (l Line) field(name string) string {
	v, ok := l.Fields[name]
	if !ok {
		return ""
	}
	return fmt.Sprint(v)
}

// text returns the fields sorted by name, without those that are hidden or have a
// zero value that says nothing.
func (l Line) text() string {
	var names []string
	for name, v := range l.Fields {
		if !slices.Contains(hidden, name) && v != "" && v != false && (v != json.Number("0") || slices.Contains(kept, name)) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}

// Log holds the log lines of all hosts.
type Log struct{ lines []Line }

// Read adds the lines of r. Text before the first brace of a line is ignored. Lines
// without a JSON object, a valid time and a message are skipped and counted.
func (l *Log) Read(r io.Reader) (skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		line, ok := parse(s.Bytes())
		if !ok {
			skipped++
			continue
		}
		l.lines = append(l.lines, line)
	}
	if err := s.Err(); err != nil {
		return skipped, fmt.Errorf("read log: %w", err)
	}
	return skipped, nil
}

// parse decodes a line and reports whether it is valid.
func parse(b []byte) (Line, bool) {
	i := bytes.IndexByte(b, '{')
	if i < 0 {
		return Line{}, false
	}
	var fields map[string]any
	d := json.NewDecoder(bytes.NewReader(b[i:]))
	d.UseNumber()
	if d.Decode(&fields) != nil {
		return Line{}, false
	}
	l := Line{Fields: fields}
	l.Host = l.field("host")
	l.Msg = l.field("msg")
	at, err := time.Parse(time.RFC3339Nano, l.field("ts"))
	if err != nil || l.Msg == "" {
		return Line{}, false
	}
	l.At = at
	return l, true
}

// Write writes the history of a request to w, and returns the number of its log lines.
// Each line is followed by the state of its host at that time.
func (l *Log) Write(w io.Writer, id string) (int, error) {
	slices.SortStableFunc(l.lines, func(a, b Line) int { return a.At.Compare(b.At) })
	var matches []int
	for i, line := range l.lines {
		if line.field("id") == id {
			matches = append(matches, i)
		}
	}
	var out bytes.Buffer
	for _, i := range matches {
		line := l.lines[i]
		fmt.Fprintf(&out, "%s %s: %s%s\n", line.At.Format("15:04:05.000"), line.Host, line.Msg, line.text())
		for _, state := range l.stateAt(i) {
			fmt.Fprintf(&out, "    believed for %s: %s%s\n", age(line.At.Sub(state.At)), state.Msg, state.text())
		}
	}
	if _, err := w.Write(out.Bytes()); err != nil {
		return len(matches), fmt.Errorf("write history: %w", err)
	}
	return len(matches), nil
}

// age rounds a duration for display.
func age(d time.Duration) string { return d.Round(time.Millisecond).String() }

// stateAt returns the newest lines before line i about each part of the state of its
// host, and about the server that line i names.
func (l *Log) stateAt(i int) []Line {
	line := l.lines[i]
	newest := make(map[string]Line)
	for _, s := range l.lines[:i] {
		part := states[s.Msg]
		if part == "" || s.Host != line.Host {
			continue
		}
		if part == "server" && s.field("server") != line.field("server") {
			continue
		}
		newest[part] = s
	}
	var list []Line
	for _, part := range parts {
		if s, ok := newest[part]; ok {
			list = append(list, s)
		}
	}
	return list
}
