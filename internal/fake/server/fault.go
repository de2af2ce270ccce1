// Package server provides fake backend servers: a model engine and a plain service.
// They are http.Handlers. Faults can be injected from Go and over HTTP (POST /fault),
// every request is recorded with all headers (GET /requests), and the runs of each
// request are counted (GET /runs).
package server

import (
	"encoding/json"
	"fmt"
	"time"
)

// Drop is the point at which the server closes a connection.
type Drop string

// Points at which the server closes a connection.
const (
	DropNever Drop = ""
	// DropHead is after the request header and before the body was read.
	DropHead Drop = "head"
	// DropBody is after the body was read and before the call ran.
	DropBody Drop = "body"
	// DropRun is after the call ran and before the response.
	DropRun Drop = "run"
	// DropStatus is after the response header.
	DropStatus Drop = "status"
	// DropHalf is in the middle of the response body.
	DropHalf Drop = "half"
)

// Duration is a time.Duration whose JSON form is a string such as "1.5s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// Fault is an injected fault. The zero value is a healthy server.
type Fault struct {
	// Slow delays the start of every request.
	Slow Duration `json:"slow,omitempty"`
	// Down rejects every request with status 503, without X-Run.
	Down bool `json:"down,omitempty"`
	// Full rejects every request with status 503 and X-Run: no.
	Full bool `json:"full,omitempty"`
	// Refuse closes every connection without a response. A Process resets new
	// connections before it reads a byte.
	Refuse bool `json:"refuse,omitempty"`
	// Stall makes a response stall forever before its Stall-th token. A plain
	// service stalls after the response header for any value above 0.
	Stall int `json:"stall,omitempty"`
	// Truncate ends a stream before its Truncate-th token without the end
	// mark. A plain service ends the response in the middle of the body.
	Truncate int `json:"truncate,omitempty"`
	// Unframed sends responses with neither a length nor chunks, so that they end
	// with their connection.
	Unframed bool `json:"unframed,omitempty"`
	// Poison is a text that makes an engine crash when it begins to answer a prompt
	// with it. The engine drops all connections then, and new ones for crashTime.
	Poison string `json:"poison,omitempty"`
	// Mismatch returns the id of another request in the response.
	Mismatch bool `json:"mismatch,omitempty"`
	// Late delays the response after the call has run.
	Late Duration `json:"late,omitempty"`
	// Drop closes the connection at the given point.
	Drop Drop `json:"drop,omitempty"`
	// Freeze makes all connections on which a request arrived before the fault
	// was set stall forever. New connections work.
	Freeze bool `json:"freeze,omitempty"`
	// Leaving sets the field leaving of the load report.
	Leaving bool `json:"leaving,omitempty"`
	// Count is the number of requests that the fault applies to; 0 means all.
	// It does not limit Refuse, Freeze and Leaving.
	Count int `json:"count,omitempty"`
	// For is the duration of the fault; 0 means no limit.
	For Duration `json:"for,omitempty"`
}

// crashTime is how long an engine that crashed is down.
const crashTime = 3 * time.Second

// ParseFault decodes a fault from JSON.
func ParseFault(data []byte) (Fault, error) {
	var f Fault
	if err := json.Unmarshal(data, &f); err != nil {
		return Fault{}, fmt.Errorf("fault: %w", err)
	}
	switch f.Drop {
	case DropNever, DropHead, DropBody, DropRun, DropStatus, DropHalf:
		return f, nil
	}
	return Fault{}, fmt.Errorf("fault: drop has unknown value %q", f.Drop)
}
