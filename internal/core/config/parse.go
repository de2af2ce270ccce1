package config

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Limits on one file, checked before the YAML nodes are decoded.
const (
	// maxDepth is the deepest nesting; a valid configuration needs 8 levels.
	maxDepth = 16
	// maxNodes is the largest number of nodes after aliases are expanded. A file of
	// MaxFile bytes without aliases has fewer.
	maxNodes = 1 << 20
)

// yamlLine matches the line number in error messages of the YAML library.
var yamlLine = regexp.MustCompile(`line (\d+): `)

// parse returns the root node of a file, or nil for an empty file. It returns an error
// if the file with its aliases expanded exceeds maxDepth or maxNodes.
func parse(file string, data []byte) (*yaml.Node, error) {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	var doc yaml.Node
	if err := dec.Decode(&doc); errors.Is(err, io.EOF) {
		return nil, nil
	} else if err != nil {
		return nil, syntaxProblem(file, err)
	}
	var next yaml.Node
	if err := dec.Decode(&next); err == nil {
		return nil, &Problem{Position: Position{file, next.Line}, Message: "a file holds only one YAML document"}
	} else if !errors.Is(err, io.EOF) {
		return nil, syntaxProblem(file, err)
	}
	l := limits{file: file, left: maxNodes}
	if err := l.check(&doc, 0); err != nil {
		return nil, err
	}
	if len(doc.Content) == 0 || doc.Content[0].ShortTag() == "!!null" {
		return nil, nil
	}
	return doc.Content[0], nil
}

// syntaxProblem converts an error of the YAML library into a Problem.
func syntaxProblem(file string, err error) error {
	p := &Problem{Position: Position{File: file}, Message: strings.TrimPrefix(err.Error(), "yaml: ")}
	if m := yamlLine.FindStringSubmatch(p.Message); m != nil {
		p.Line, _ = strconv.Atoi(m[1])
		p.Message = strings.Replace(p.Message, m[0], "", 1)
	}
	return p
}

// limits enforces maxDepth and maxNodes on one file.
type limits struct {
	file string
	left int // nodes that may still follow
}

// check counts n and the nodes below it, following aliases.
func (l *limits) check(n *yaml.Node, depth int) error {
	l.left--
	if l.left < 0 {
		return &Problem{Position: Position{l.file, n.Line}, Message: fmt.Sprintf("more than %d values after aliases are expanded", maxNodes)}
	}
	if depth > maxDepth {
		return &Problem{Position: Position{l.file, n.Line}, Message: fmt.Sprintf("nested more than %d levels deep", maxDepth)}
	}
	if n.Alias != nil {
		return l.check(n.Alias, depth+1)
	}
	for _, c := range n.Content {
		if err := l.check(c, depth+1); err != nil {
			return err
		}
	}
	return nil
}
