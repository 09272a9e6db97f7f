package catalogue

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/rotisserie/eris"
)

// MaxFileBytes is the maximum size of a catalogue file.
const MaxFileBytes = 1 << 20

// Problem is one thing wrong with a catalogue.
type Problem struct {
	// Line is the line in the file, or 0 if the catalogue is not a file.
	Line int `json:"line,omitempty"`
	// Object is the object as kind/name. It may be empty.
	Object string `json:"object,omitempty"`
	Reason string `json:"reason"`
}

// InvalidError lists all problems of a catalogue.
type InvalidError struct {
	File     string
	Problems []Problem
}

// Error implements error. It returns one line per problem, in the form
// "file:line: reason".
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.format(e.File))
	}
	return strings.Join(lines, "\n")
}

func (p Problem) format(file string) string {
	var b strings.Builder
	if file != "" {
		fmt.Fprintf(&b, "%s:%d: ", file, p.Line)
	}
	if p.Object != "" {
		fmt.Fprintf(&b, "%s: ", p.Object)
	}
	b.WriteString(p.Reason)
	return b.String()
}

// Load reads and checks a complete catalogue file. name is used only in messages.
// The error is an *InvalidError that lists every problem found.
func Load(name string, data []byte) (Document, error) {
	return LoadMerged(name, data, Document{}, true)
}

// LoadMerged reads a catalogue file, merges it into current and returns the
// resulting catalogue. Objects of current that are not in the file are kept, so
// that a file can hold only changed objects, unless prune is set.
func LoadMerged(name string, data []byte, current Document, prune bool) (Document, error) {
	if len(data) > MaxFileBytes {
		reason := fmt.Sprintf("file has %d bytes, more than %d", len(data), MaxFileBytes)
		return Document{}, invalid(name, Problem{Line: 1, Reason: reason})
	}
	doc, file, err := parse(data)
	if err != nil {
		return Document{}, invalid(name, syntaxProblem(err))
	}
	merged := doc
	if !prune {
		merged = mergeDocuments(current, doc)
	}
	problems := merged.Check()
	if len(problems) == 0 {
		return merged, nil
	}
	lines := indexLines(file)
	for i := range problems {
		problems[i].Line = lines.lineOf(problems[i].position)
	}
	return Document{}, invalid(name, withoutPositions(problems)...)
}

// parse reads YAML. The YAML library panics on some malformed input; a panic is
// reported like any other syntax error.
func parse(data []byte) (doc Document, file *ast.File, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = eris.Errorf("malformed YAML: %v", p)
		}
	}()
	file, err = parser.ParseBytes(data, 0)
	if err != nil || len(bytes.TrimSpace(data)) == 0 {
		return doc, file, err
	}
	err = yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(&doc)
	return doc, file, err
}

func invalid(file string, problems ...Problem) error {
	return &InvalidError{File: file, Problems: problems}
}

// syntaxProblem extracts the line and reason from an error of the YAML library.
func syntaxProblem(err error) Problem {
	var ye yaml.Error
	if !eris.As(err, &ye) {
		return Problem{Line: 1, Reason: err.Error()}
	}
	p := Problem{Line: 1, Reason: ye.GetMessage()}
	if tk := ye.GetToken(); tk != nil && tk.Position != nil {
		p.Line = tk.Position.Line
	}
	return p
}

// position identifies a field of the document by section, index and field name.
type position struct {
	section string
	index   int
	field   string
}

// lineIndex maps positions to lines of the file.
type lineIndex map[position]int

// lineOf returns the line of a field, or of its object if the field is absent.
func (x lineIndex) lineOf(p position) int {
	if line, ok := x[p]; ok {
		return line
	}
	p.field = ""
	if line, ok := x[p]; ok {
		return line
	}
	return 1
}

func indexLines(file *ast.File) lineIndex {
	x := lineIndex{}
	if len(file.Docs) == 0 {
		return x
	}
	for _, section := range mappingValues(file.Docs[0].Body) {
		seq, ok := section.Value.(*ast.SequenceNode)
		if !ok {
			continue
		}
		for i, item := range seq.Values {
			x.addObject(section.Key.String(), i, item)
		}
	}
	return x
}

func (x lineIndex) addObject(section string, i int, item ast.Node) {
	for k, mv := range mappingValues(item) {
		line := mv.Key.GetToken().Position.Line
		if k == 0 {
			x[position{section, i, ""}] = line
		}
		field := mv.Key.String()
		x[position{section, i, field}] = line
		for _, nested := range mappingValues(mv.Value) {
			nestedLine := nested.Key.GetToken().Position.Line
			x[position{section, i, field + "." + nested.Key.String()}] = nestedLine
		}
	}
}

func mappingValues(n ast.Node) []*ast.MappingValueNode {
	switch m := n.(type) {
	case *ast.MappingNode:
		return m.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{m}
	default:
		return nil
	}
}
