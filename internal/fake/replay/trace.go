// Package replay replays traces of requests on a small simulation of a fleet: hosts
// with the router of package route, engines with a prefix cache, and load reports
// that arrive with a delay. It compares routing policies on recorded or generated
// traces.
package replay

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccalb/yuccalb/internal/core/route"
)

// guideTokens is the length of a guide, the shared text at the start of the prompts of
// generated chats.
const guideTokens = 1536

// Row is one request of a trace. Prefix identifies the text that the request shares
// with others. In a prefix of the form guide/chat the first guideTokens tokens belong
// to the guide and the rest to the history of the chat; all turns of a chat have the
// same prefix.
type Row struct {
	At     time.Duration // since the start of the trace
	Region string
	Org    string
	Route  string
	Prefix string
	Shared int // tokens of the shared prefix
	Prompt int // tokens of the whole prompt
	Answer int // tokens of the response
}

// minTurnInterval is the minimum time in milliseconds between turns of a chat.
const minTurnInterval = 8e3

// chat is a chat that the generator can continue.
type chat struct {
	name         string
	tokens, left int     // tokens after the guide, turns left
	at           float64 // time of the last turn in milliseconds
}

// Generate returns the trace of a group of users in the format of Read. The kind
// "workshops" has requests about files and stock; any other kind has chats whose
// prompts start with one of three guides. The rates of the two regions follow the same
// daily curve, half a day apart; a day takes 80 s.
func Generate(kind string, rng *rand.Rand) string {
	var b strings.Builder
	chats := map[string][]*chat{}
	opened := 0
	for at := 0.0; at < 80e3; {
		at += rng.ExpFloat64() * 1e3 / 45
		region, phase := "west", 0.0
		if rng.IntN(2) == 0 {
			region, phase = "east", math.Pi
		}
		if rng.Float64() > 0.55+0.45*math.Sin(2*math.Pi*at/80e3+phase) {
			continue
		}
		org := []string{"a", "a", "b", "b", "c", "d", "e"}[rng.IntN(7)]
		if kind == "workshops" {
			job := fmt.Sprintf("job-%s%d", org, rng.IntN(10))
			file := 1500 + int(xxhash.Sum64String(job)%2500)
			switch {
			case rng.IntN(4) == 0:
				fmt.Fprintf(&b, "%.0f,%s,%s,quote,%s,%d,%d,%d\n", at, region, org, job, file, file+rng.IntN(200), 200+rng.IntN(200))
			case rng.IntN(2) == 0:
				fmt.Fprintf(&b, "%.0f,%s,%s,ask,%s,%d,%d,%d\n", at, region, org, job, file, file+20+rng.IntN(60), 20+rng.IntN(60))
			default:
				fmt.Fprintf(&b, "%.0f,%s,%s,stock,,0,%d,%d\n", at, region, org, 60+rng.IntN(200), 10+rng.IntN(30))
			}
			continue
		}
		guide := fmt.Sprintf("guide%d", rng.IntN(3))
		if rng.IntN(4) == 0 {
			fmt.Fprintf(&b, "%.0f,%s,%s,ask,%s,%d,%d,%d\n", at, region, org, guide, guideTokens, guideTokens+20+rng.IntN(60), 20+rng.IntN(40))
			continue
		}
		// Continue the chat whose last turn is the oldest. If that is less than
		// minTurnInterval ago, when its user still waits for the answer or reads
		// it, start a new chat.
		c, open := (*chat)(nil), chats[region+org]
		if len(open) > 0 && at-open[0].at > minTurnInterval {
			c, open = open[0], open[1:]
		} else {
			opened++
			c = &chat{name: fmt.Sprintf("%s/%d", guide, opened), left: 6 + rng.IntN(10)}
		}
		history := guideTokens + c.tokens
		c.tokens += 100 + rng.IntN(300)
		c.at = at
		if c.left--; c.left > 0 {
			open = append(open, c)
		}
		chats[region+org] = open
		fmt.Fprintf(&b, "%.0f,%s,%s,chat,%s,%d,%d,%d\n", at, region, org, c.name, history, guideTokens+c.tokens, 60+rng.IntN(200))
	}
	return b.String()
}

// fields are the names of the columns of a trace, as they appear in errors.
var fields = []string{"time", "region", "organisation", "route", "prefix", "shared tokens", "prompt tokens", "answer tokens"}

const (
	// maxTime bounds the length of a trace in milliseconds. It rejects times
	// since 1970, with which the simulation would run for hours.
	maxTime = 7 * 24 * 3600 * 1000
	// maxTokens bounds the tokens of a row. The simulation holds a digest per
	// block, so that a value from the wrong column could exhaust the memory.
	maxTokens = 1 << 20
)

// Read reads a trace, which has one request per line as comma-separated
// values without a header: time in milliseconds since the start of the trace,
// region, organisation, route, shared prefix, and the tokens of the shared
// prefix, of the whole prompt and of the answer. The lines must be in order of time.
// Errors start with name, followed by the line and, if a field is invalid, its name.
func Read(r io.Reader, name string) ([]Row, error) {
	cr := csv.NewReader(r)
	cr.FieldsPerRecord = -1 // parseRow checks it, so that the error names the file
	var rows []Row
	for {
		record, err := cr.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		var syntax *csv.ParseError
		if errors.As(err, &syntax) {
			return nil, fmt.Errorf("%s:%d: column %d: %w", name, syntax.Line, syntax.Column, syntax.Err)
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		line, _ := cr.FieldPos(0)
		row, err := parseRow(record)
		if err == nil && len(rows) > 0 && row.At < rows[len(rows)-1].At {
			err = fmt.Errorf("%s: %q is before the line above", fields[0], record[0])
		}
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", name, line, err)
		}
		rows = append(rows, row)
	}
	if len(rows) == 0 {
		return nil, fmt.Errorf("%s: the trace has no requests", name)
	}
	return rows, nil
}

// parseRow converts one line of a trace.
func parseRow(record []string) (Row, error) {
	if len(record) != len(fields) {
		return Row{}, fmt.Errorf("%d fields, want %d", len(record), len(fields))
	}
	var n [4]int
	for k, col := range []int{0, 5, 6, 7} {
		limit := maxTokens
		if col == 0 {
			limit = maxTime
		}
		v, err := strconv.Atoi(record[col])
		if err != nil || v < 0 || v > limit {
			return Row{}, fmt.Errorf("%s: %q is not a whole number from 0 to %d", fields[col], record[col], limit)
		}
		n[k] = v
	}
	if n[1] > n[2] {
		return Row{}, fmt.Errorf("%s: %d is more than the prompt's %d", fields[5], n[1], n[2])
	}
	return Row{time.Duration(n[0]) * time.Millisecond, record[1], record[2], record[3], record[4], n[1], n[2], n[3]}, nil
}

// chain returns the block digests of request number i: those of the shared prefix,
// then those of text that no other request has. In a chat all text after the guide
// belongs to the chat, so that a whole prompt is a prefix of the next turn's. With
// unique no block is shared.
func (r *Row) chain(i int, unique bool) []uint64 {
	guide, chat, isChat := strings.Cut(r.Prefix, "/")
	unshared := fmt.Sprint("#", i)
	digests := make([]uint64, 0, r.Prompt/route.BlockTokens)
	last := uint64(0)
	for k := range r.Prompt / route.BlockTokens {
		part := unshared
		switch end := (k + 1) * route.BlockTokens; {
		case unique:
		case isChat && end > guideTokens:
			part = chat
		case end <= r.Shared:
			part = guide
		}
		last = xxhash.Sum64String(fmt.Sprint(last, part, k))
		digests = append(digests, last)
	}
	return digests
}
