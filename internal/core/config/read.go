// Package config reads the configuration from a directory of YAML files and converts it
// to and from the segments, heads and patches that are stored and exchanged between
// hosts.
package config

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path"
	"strings"

	"github.com/yuccalb/yuccalb/internal/core/model"
)

// MaxFile is the largest size of one file, in bytes.
const MaxFile = 1 << 20

// maxProblems is the largest number of problems in an error; a file with unrelated
// contents can have hundreds of thousands.
const maxProblems = 200

// Read merges all *.yaml files in the root of fsys in name order and checks the result.
// The error joins a *Problem for each error found. The lists of the result are sorted
// by name, so that the digest does not depend on how definitions are spread over
// files.
func Read(fsys fs.FS) (*model.Config, error) {
	cfg, _, err := ReadSource(fsys)
	return cfg, err
}

// Source holds the positions of the definitions and fields of a configuration that was
// read from files.
type Source struct{ m *merger }

// ReadSource is like Read and returns the positions of what it read, too.
func ReadSource(fsys fs.FS) (*model.Config, *Source, error) {
	entries, err := fs.ReadDir(fsys, ".")
	if err != nil {
		return nil, nil, fmt.Errorf("read configuration directory: %w", err)
	}
	m := newMerger()
	files := 0
	for _, e := range entries {
		if path.Ext(e.Name()) != ".yaml" || strings.HasPrefix(e.Name(), ".") {
			continue
		}
		files++
		data, err := readFile(fsys, e.Name())
		if err != nil {
			m.errs = append(m.errs, err)
			continue
		}
		root, err := parse(e.Name(), data)
		if err != nil {
			m.errs = append(m.errs, err)
			continue
		}
		m.mergeFile(e.Name(), root)
	}
	if files == 0 {
		// An empty configuration, if applied, would revoke every key.
		return nil, nil, &Problem{Position: Position{File: "."}, Message: "the directory has no *.yaml files"}
	}
	cfg := m.config()
	m.check(cfg)
	if n := len(m.errs); n > maxProblems {
		m.errs = append(m.errs[:maxProblems], fmt.Errorf("%d more problems are not listed", n-maxProblems))
	}
	if len(m.errs) > 0 {
		return nil, nil, errors.Join(m.errs...)
	}
	return cfg, &Source{m: m}, nil
}

// readFile returns the contents of a file, or an error if it is larger than MaxFile.
func readFile(fsys fs.FS, name string) ([]byte, error) {
	f, err := fsys.Open(name)
	if err != nil {
		return nil, &Problem{Position: Position{File: name}, Message: err.Error()}
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, MaxFile+1))
	if err != nil {
		return nil, &Problem{Position: Position{File: name}, Message: err.Error()}
	}
	if len(data) > MaxFile {
		return nil, &Problem{Position: Position{File: name}, Message: fmt.Sprintf("file is larger than %d bytes", MaxFile)}
	}
	return data, nil
}
