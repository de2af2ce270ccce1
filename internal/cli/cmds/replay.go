package cmds

import (
	"fmt"
	"os"

	"github.com/yuccalb/yuccalb/internal/fake/replay"
)

// ReplayCmd replays a recorded trace on a simulated data centre.
type ReplayCmd struct {
	File   string   `arg:"" help:"Trace: lines of time in ms, region, organisation, route, prefix, shared tokens, prompt tokens, answer tokens." type:"existingfile"`
	Policy string   `help:"Routing policy: ${enum}." enum:"expected,two,robin,random,least" required:""`
	Seeds  int      `help:"Number of replays, with the seeds 1, 2 and so on, whose figures are pooled." default:"5"`
	Class  []string `help:"Class of a route, ROUTE=PRIORITY[,GOAL]: engines admit those with lower numbers first. May be repeated." sep:"none"`
	Pace   float64  `help:"Speed of the replay relative to the trace." default:"1"`
	Fair   bool     `help:"Hosts queue requests by fair share of the organisations, and refuse those that would start too late."`
	JSON   bool     `help:"Print JSON."`
}

const (
	// maxSeeds bounds the replays of one command.
	maxSeeds = 1000
	// maxPace bounds the speed of a replay.
	maxPace = 1000
	// The data centre is that of the routing tests, which replay the trace at
	// 1.5 times the recorded pace.
	replayServers = 12
	replayHosts   = 8
	replayPasses  = 3
)

// replayReport holds the results of the pooled replays. P50, P99 and P999 are times
// to the first token; times are in seconds. Hits is the part of the prompt tokens that
// were found in prefix caches and Accelerator the accelerator time per request.
type replayReport struct {
	Policy      string        `json:"policy"`
	Seeds       int           `json:"seeds"`
	Requests    int           `json:"requests"`
	Failed      int           `json:"failed"`
	P50         float64       `json:"p50"`
	P99         float64       `json:"p99"`
	P999        float64       `json:"p999"`
	Hits        float64       `json:"hits"`
	Accelerator float64       `json:"accelerator"`
	WorstOrg    string        `json:"worst_org"`
	WorstP99    float64       `json:"worst_p99"`
	WorstRatio  float64       `json:"worst_ratio"` // WorstP99 relative to the median organisation's p99
	Classes     []classReport `json:"classes"`
}

// Run executes the command. The trace is replayed at its recorded pace in one data
// centre. The first pass fills the prefix caches and is not measured.
func (c *ReplayCmd) Run(e *env) error {
	if c.Seeds < 1 || c.Seeds > maxSeeds {
		return withExitCode(ExitInput, fmt.Errorf("replay: --seeds is %d, want 1 to %d", c.Seeds, maxSeeds))
	}
	if !(c.Pace > 0 && c.Pace <= maxPace) {
		return withExitCode(ExitInput, fmt.Errorf("replay: --pace is %v, want more than 0 and at most %d", c.Pace, maxPace))
	}
	classes, err := parseClasses(c.Class)
	if err != nil {
		return withExitCode(ExitInput, fmt.Errorf("replay: %w", err))
	}
	byRoute := make(map[string]replay.Class, len(classes))
	for _, x := range classes {
		byRoute[x.route] = replay.Class{Priority: x.priority, Goal: x.goal}
	}
	f, err := os.Open(c.File)
	if err != nil {
		return withExitCode(ExitInput, fmt.Errorf("replay: %w", err))
	}
	defer f.Close()
	rows, err := replay.Read(f, c.File)
	if err != nil {
		return withExitCode(ExitInput, fmt.Errorf("replay: %w", err))
	}
	got := replay.Pooled(rows, replay.Setup{
		Policy: c.Policy, Regions: []string{"local"}, Servers: replayServers, Hosts: replayHosts,
		Passes: replayPasses, Warm: true, Stay: true, Classes: byRoute, Pace: c.Pace, Fair: c.Fair,
	}, c.Seeds)
	rep := replayReport{
		Policy: c.Policy, Seeds: c.Seeds, Requests: got.Requests, Failed: got.Failed,
		P50: replay.Quantile(got.TTFT, 50), P99: replay.Quantile(got.TTFT, 99), P999: replay.Quantile(got.TTFT, 99.9),
		Hits: got.Hits(), Accelerator: got.Accelerator(),
	}
	rep.WorstOrg, rep.WorstRatio = got.Worst()
	if h := got.Orgs[rep.WorstOrg]; h != nil {
		rep.WorstP99 = replay.Quantile(h, 99)
	}
	for route, x := range got.Classes {
		rep.Classes = append(rep.Classes, classReport{
			Route: route, Priority: byRoute[route].Priority, Sent: x.Sent, Served: x.Served, InTime: x.InTime,
			Late: x.Served - x.InTime, Refused: x.Refused, RefusedWait: quantilesOf(x.Waits),
		})
	}
	sortClasses(rep.Classes)
	if c.JSON {
		return e.JSON(rep)
	}
	e.Printf("policy %s, %d seeds, %d requests, %d failed\n", rep.Policy, rep.Seeds, rep.Requests, rep.Failed)
	e.Printf("first token: p50 %.3f s, p99 %.3f s, p99.9 %.3f s\n", rep.P50, rep.P99, rep.P999)
	e.Printf("hit rate %.3f, accelerator time %.3f s per request\n", rep.Hits, rep.Accelerator)
	e.Printf("worst organisation: %s, p99 %.3f s, %.2f times the median organisation's\n", rep.WorstOrg, rep.WorstP99, rep.WorstRatio)
	printClasses(e, rep.Classes)
	return nil
}
