package cmds

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/rank"
)

// class is a class of callers, those of one route.
type class struct {
	route    string
	priority int           // 0 is the most urgent
	goal     time.Duration // latency target for the first token, 0 for none
	share    float64       // of the requests, relative to the other classes
}

// parseClass parses ROUTE=PRIORITY[,GOAL[,SHARE]].
func parseClass(text string) (class, error) {
	c := class{share: 1}
	route, rest, ok := strings.Cut(text, "=")
	if !ok || route == "" {
		return c, fmt.Errorf("class %q is not ROUTE=PRIORITY[,GOAL[,SHARE]]", text)
	}
	c.route = route
	parts := strings.Split(rest, ",")
	if len(parts) > 3 {
		return c, fmt.Errorf("class %q has more than a priority, a goal and a share", text)
	}
	var err error
	if c.priority, err = strconv.Atoi(parts[0]); err != nil || c.priority < 0 || c.priority > rank.MaxPriority {
		return c, fmt.Errorf("class %q: priority %q is not from 0 to %d", text, parts[0], rank.MaxPriority)
	}
	if len(parts) > 1 {
		if c.goal, err = time.ParseDuration(parts[1]); err != nil || c.goal < 0 {
			return c, fmt.Errorf("class %q: goal %q is not a duration such as 800ms", text, parts[1])
		}
	}
	if len(parts) > 2 {
		if c.share, err = strconv.ParseFloat(parts[2], 64); err != nil || !(c.share > 0 && c.share < 1e6) {
			return c, fmt.Errorf("class %q: share %q is not a positive number", text, parts[2])
		}
	}
	return c, nil
}

// parseClasses parses the classes of a command, each of another route.
func parseClasses(texts []string) ([]class, error) {
	var list []class
	for _, text := range texts {
		c, err := parseClass(text)
		if err != nil {
			return nil, err
		}
		if slices.ContainsFunc(list, func(x class) bool { return x.route == c.route }) {
			return nil, fmt.Errorf("class %q: route %s has another class", text, c.route)
		}
		list = append(list, c)
	}
	return list, nil
}

// classReport is the result of one class. RefusedWait is the time until a request was refused,
// in milliseconds. Without a goal all requests that are served are in time.
type classReport struct {
	Route       string    `json:"route"`
	Priority    int       `json:"priority"`
	Sent        int       `json:"sent"`
	Served      int       `json:"served"`
	InTime      int       `json:"in_time"`
	Late        int       `json:"late"`
	Refused     int       `json:"refused"`
	RefusedWait quantiles `json:"refused_wait"`
}

// sortClasses orders reports by priority and route.
func sortClasses(list []classReport) {
	slices.SortFunc(list, func(a, b classReport) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Route, b.Route))
	})
}

// printClasses prints one line for each class.
func printClasses(e *env, list []classReport) {
	for _, r := range list {
		e.Printf("route %s, priority %d: %d sent, %d served, %d in time, %d late, %d refused", r.Route, r.Priority, r.Sent, r.Served, r.InTime, r.Late, r.Refused)
		if r.Refused > 0 {
			e.Printf(" after p50 %.1f ms, p95 %.1f ms, p99 %.1f ms", r.RefusedWait.P50, r.RefusedWait.P95, r.RefusedWait.P99)
		}
		e.Printf("\n")
	}
}
