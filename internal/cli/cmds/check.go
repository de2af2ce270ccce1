package cmds

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/config"
	"github.com/yuccalb/yuccalb/internal/core/lint"
	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/daemon/setup"
	"github.com/yuccalb/yuccalb/platform"
)

const (
	// maxConfigFile is the largest size of a JSON configuration, in bytes: that of a
	// response of the platform's store.
	maxConfigFile = 16 << 20
	// maxPrinted is the largest number of findings that are printed as text.
	maxPrinted = 200
)

// CheckCmd validates a configuration and a daemon's settings file.
type CheckCmd struct {
	Path     string        `arg:"" optional:"" help:"Configuration folder, or a platform's configuration as a file whose name ends in .json." type:"path"`
	Settings string        `help:"Settings file of a daemon." type:"existingfile"`
	Against  string        `help:"Show the differences from this configuration, a folder or file of the same format." type:"path"`
	Platform string        `help:"Show the differences from the version in force on the platform with this base URL. Folders only."`
	Timeout  time.Duration `help:"Time to keep trying while the platform does not answer." default:"30s"`
	Regions  []string      `help:"Regions that have backend servers. JSON files only; a folder states them."`
	Strict   bool          `help:"Exit with 2 on warnings, too."`
	JSON     bool          `help:"Print JSON."`
}

// checkReport is the JSON output of CheckCmd.
type checkReport struct {
	Settings *checkedSettings `json:"settings,omitempty"`
	// Path is the configuration. It is empty if only settings were checked.
	Path     string         `json:"path,omitempty"`
	Errors   int            `json:"errors"`
	Warnings int            `json:"warnings"`
	Changes  int            `json:"changes"`
	Findings []lint.Finding `json:"findings"`
}

type checkedSettings struct {
	File string `json:"file"`
	Host string `json:"host"`
	Site string `json:"site"`
}

// configuration is a checked configuration. The view is nil if it can't be used because of
// the findings.
type configuration struct {
	view     *lint.View
	findings []lint.Finding
	// problems is the error of a folder that can't be used.
	problems error
	// regions and sites are the numbers of those that a folder defines.
	folder         bool
	regions, sites int
}

// Run executes the command.
func (c *CheckCmd) Run(e *env) error {
	if err := c.checkFlags(); err != nil {
		return withExitCode(ExitInput, fmt.Errorf("check: %w", err))
	}
	rep := checkReport{Path: c.Path, Findings: []lint.Finding{}}
	if c.Settings != "" {
		s, err := setup.Load(c.Settings)
		if err != nil {
			return withExitCode(ExitInput, err)
		}
		rep.Settings = &checkedSettings{File: c.Settings, Host: s.Peer.String(), Site: s.Site}
		if !c.JSON {
			e.Printf("settings %s: host %s in %s\n", c.Settings, s.Peer, s.Site)
		}
	}
	if c.Path == "" {
		if c.JSON {
			return e.JSON(rep)
		}
		return nil
	}
	return c.checkConfig(e, &rep)
}

// checkFlags reports flags that are missing or exclude each other.
func (c *CheckCmd) checkFlags() error {
	switch {
	case c.Path == "" && c.Settings == "":
		return errors.New("neither a configuration nor --settings is given")
	case c.Path == "" && (c.Against != "" || c.Platform != ""):
		return errors.New("--against and --platform need a configuration")
	case c.Against != "" && c.Platform != "":
		return errors.New("--against and --platform exclude each other")
	}
	return nil
}

// checkConfig checks the configuration and prints the findings.
func (c *CheckCmd) checkConfig(e *env, rep *checkReport) error {
	cfg, err := c.read(c.Path)
	if err != nil {
		return err
	}
	if cfg.folder && len(c.Regions) > 0 {
		return withExitCode(ExitInput, errors.New("check: --regions is for JSON files, a folder states its regions"))
	}
	if cfg.view != nil {
		if len(c.Regions) > 0 {
			cfg.view.Regions = c.Regions
		}
		cfg.findings = append(cfg.findings, lint.Check(cfg.view)...)
		old, err := c.inForce(cfg.folder)
		if err != nil {
			return err
		}
		if old != nil {
			cfg.findings = append(cfg.findings, lint.Against(old, cfg.view)...)
		}
	}
	lint.Sort(cfg.findings)
	rep.Findings = append(rep.Findings, cfg.findings...)
	rep.Errors, rep.Warnings, rep.Changes = lint.Count(rep.Findings, lint.Error), lint.Count(rep.Findings, lint.Warning), lint.Count(rep.Findings, lint.Change)
	if c.JSON {
		if err := e.JSON(rep); err != nil {
			return err
		}
	} else {
		c.print(e, cfg)
	}
	switch {
	case cfg.problems != nil && !c.JSON:
		return withExitCode(ExitInput, cfg.problems)
	case rep.Errors > 0:
		return withExitCode(ExitInput, fmt.Errorf("configuration %s: %d errors", c.Path, rep.Errors))
	case c.Strict && rep.Warnings > 0:
		return withExitCode(ExitInput, fmt.Errorf("configuration %s: %d warnings", c.Path, rep.Warnings))
	}
	return nil
}

// print prints the size of the configuration and the findings. Those of a folder that
// can't be used are left to the error.
func (c *CheckCmd) print(e *env, cfg *configuration) {
	if v := cfg.view; v != nil && cfg.folder {
		e.Printf("configuration %s: %d regions, %d data centres, %d services, %d routes, %d organisations\n",
			c.Path, cfg.regions, cfg.sites, len(v.Services), len(v.Routes), len(v.Orgs))
	} else if v != nil {
		e.Printf("configuration %s: version %d, %d services, %d routes, %d organisations\n",
			c.Path, v.Version, len(v.Services), len(v.Routes), len(v.Orgs))
	}
	if cfg.problems != nil {
		return
	}
	for i, f := range cfg.findings {
		if i == maxPrinted {
			e.Printf("%d more findings are not listed; --json lists all\n", len(cfg.findings)-maxPrinted)
			break
		}
		e.Printf("%s\n", f)
	}
}

// inForce returns the configuration to compare with, or nil if none is asked for.
func (c *CheckCmd) inForce(folder bool) (*lint.View, error) {
	switch {
	case c.Platform != "" && !folder:
		return nil, withExitCode(ExitInput, errors.New("check: --platform is for folders; use --against for a JSON file"))
	case c.Platform != "":
		return c.load()
	case c.Against == "":
		return nil, nil
	}
	old, err := c.read(c.Against)
	if err != nil {
		return nil, err
	}
	if old.folder != folder {
		return nil, withExitCode(ExitInput, fmt.Errorf("check: %s and %s are not of the same format", c.Path, c.Against))
	}
	if old.problems != nil {
		return nil, withExitCode(ExitInput, old.problems)
	}
	if old.view == nil {
		var errs []error
		for _, f := range old.findings {
			if f.Severity == lint.Error {
				errs = append(errs, errors.New(f.String()))
			}
		}
		return nil, withExitCode(ExitInput, fmt.Errorf("configuration %s:\n%w", c.Against, errors.Join(errs...)))
	}
	return old.view, nil
}

// load reads the version in force from the platform.
func (c *CheckCmd) load() (*lint.View, error) {
	p := Platform{Platform: c.Platform, Timeout: c.Timeout}
	cfg, err := p.inForce()
	if err != nil {
		return nil, err
	}
	if cfg == nil {
		cfg = &model.Config{}
	}
	return config.View("in force", cfg, nil), nil
}

// read reads a configuration of either format.
func (c *CheckCmd) read(path string) (*configuration, error) {
	info, err := os.Stat(path)
	switch {
	case err != nil:
		return nil, withExitCode(ExitInput, fmt.Errorf("check: %w", err))
	case info.IsDir():
		return readFolderView(path), nil
	case filepath.Ext(path) == ".json":
		return readFileView(path)
	}
	return nil, withExitCode(ExitInput, fmt.Errorf("check: %s: want a configuration folder, or a platform's configuration whose name ends in .json", path))
}

// readFolderView reads a configuration folder.
func readFolderView(dir string) *configuration {
	out := &configuration{folder: true}
	cfg, src, err := config.ReadSource(os.DirFS(dir))
	if err != nil {
		out.problems = fmt.Errorf("configuration %s:\n%w", dir, err)
		out.findings = problems(err)
		return out
	}
	out.view = config.View(filepath.Base(dir), cfg, src)
	out.regions, out.sites = len(cfg.Regions), len(cfg.Sites)
	return out
}

// problems returns the errors of a folder as findings.
func problems(err error) []lint.Finding {
	list := []error{err}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		list = joined.Unwrap()
	}
	var out []lint.Finding
	for _, err := range list {
		f := lint.Finding{Severity: lint.Error, Message: err.Error()}
		var p *config.Problem
		if errors.As(err, &p) {
			f.Path, f.Message = lint.Path{File: p.File, Line: p.Line, Field: p.Field}, p.Message
		}
		out = append(out, f)
	}
	return out
}

// readFileView reads a platform's configuration.
func readFileView(path string) (*configuration, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, withExitCode(ExitInput, fmt.Errorf("check: %w", err))
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxConfigFile+1))
	if err != nil {
		return nil, withExitCode(ExitInput, fmt.Errorf("check: %w", err))
	}
	if len(data) > maxConfigFile {
		return nil, withExitCode(ExitInput, fmt.Errorf("check: %s is larger than %d bytes", path, maxConfigFile))
	}
	view, findings := platform.ReadView(filepath.Base(path), data)
	return &configuration{view: view, findings: findings}, nil
}
