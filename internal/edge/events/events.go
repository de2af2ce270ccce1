// Package events puts together what the logs of several hosts say of one
// request: its lines in order of time, and what each host believed then.
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

// maxLine bounds a line of a log in bytes.
const maxLine = 1 << 20

// Messages about the state of a host, and the part of it that they tell.
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
}

// parts are the parts of the state in the order in which they are shown.
var parts = []string{"process", "configuration", "store", "readiness", "evacuation", "server"}

// hidden are the fields of a line that are shown elsewhere.
var hidden = []string{"level", "ts", "msg", "host", "id"}

// Line is one line of a log.
type Line struct {
	At     time.Time
	Host   string
	Msg    string
	Fields map[string]any
}

// field returns a field as text.
func (l Line) field(name string) string {
	v, ok := l.Fields[name]
	if !ok {
		return ""
	}
	return fmt.Sprint(v)
}

// text returns the fields that say something.
func (l Line) text() string {
	var names []string
	for name, v := range l.Fields {
		if !slices.Contains(hidden, name) && v != "" && v != false && v != json.Number("0") {
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

// Log holds the lines of all hosts.
type Log struct{ lines []Line }

// Read adds the lines of r. Text before a line's first brace is skipped, and
// lines that are not JSON objects are counted and left out.
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

// Write writes the history of the request id. It returns the number of its lines.
func (l *Log) Write(w io.Writer, id string) (int, error) {
	slices.SortStableFunc(l.lines, func(a, b Line) int { return a.At.Compare(b.At) })
	var own []int
	for i, line := range l.lines {
		if line.field("id") == id {
			own = append(own, i)
		}
	}
	var out bytes.Buffer
	for _, i := range own {
		line := l.lines[i]
		fmt.Fprintf(&out, "%s %s: %s%s\n", line.At.Format("15:04:05.000"), line.Host, line.Msg, line.text())
		for _, state := range l.believed(i) {
			fmt.Fprintf(&out, "    believed for %s: %s%s\n", age(line.At.Sub(state.At)), state.Msg, state.text())
		}
	}
	if _, err := w.Write(out.Bytes()); err != nil {
		return len(own), fmt.Errorf("write history: %w", err)
	}
	return len(own), nil
}

// age rounds a duration for display.
func age(d time.Duration) string { return d.Round(time.Millisecond).String() }

// believed returns the newest lines about the state of the host that wrote
// line i, and of the server that it names.
func (l *Log) believed(i int) []Line {
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
