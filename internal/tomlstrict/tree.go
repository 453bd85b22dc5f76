package tomlstrict

import (
	"bytes"
	"errors"
	"sort"
	"strings"
	"unicode"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/auburndyke/auburndyke/internal/findings"
)

type nodeKind int

const (
	kindTable nodeKind = iota
	kindArray
	kindString
	kindBool
	kindInteger
	kindFloat
	kindTime
)

var kindNames = map[nodeKind]string{
	kindTable:   "table",
	kindArray:   "array",
	kindString:  "string",
	kindBool:    "boolean",
	kindInteger: "integer",
	kindFloat:   "float",
	kindTime:    "date or time",
}

// node is one value of a file with its place.
type node struct {
	kind         nodeKind
	line, column int
	key          keyPart // the key that holds the value
	text         string  // scalar as decoded
	items        []*node
	fields       map[string]*node
	order        []string
	// closed tables cannot be extended: inline tables, and arrays written
	// as values.
	closed bool
	// header is set when the table has had its own [header].
	header bool
	// damaged tables lost keys to a syntax error, so a missing key is not
	// reported for them.
	damaged bool
}

// maxSyntaxErrors bounds the findings about a file that is no TOML at all.
const maxSyntaxErrors = 100

// builder turns parser expressions into a tree of nodes.
type builder struct {
	file    string
	data    []byte
	lines   []int // offset of the start of each line
	list    *findings.List
	root    *node
	current *node
	// suspect is the table that a syntax error at the next header may have
	// cut short.
	suspect *node
	// errors counts the syntax errors.
	errors int
	// lost names the tables whose headers could not be read.
	lost []string
}

// parse reads a file and names the tables whose headers could not be read. It goes on behind a syntax error at the next table
// header, so that later mistakes are found in the same run.
func parse(file string, data []byte, list *findings.List) (root *node, lost []string) {
	b := &builder{file: file, data: data, list: list, root: newTable(keyPart{line: 1, column: 1})}
	b.lines = lineOffsets(data)
	b.current = b.root
	before := len(*list)
	for offset := 0; offset < len(data); {
		offset = b.parseFrom(offset)
		if b.errors >= maxSyntaxErrors {
			list.Errorf(file, 0, 0, "", "too many syntax errors; the rest of the file was not read")
			break
		}
	}
	if len(*list) == before {
		b.crossCheck()
	}
	return b.root, b.lost
}

func newTable(key keyPart) *node {
	return &node{kind: kindTable, line: key.line, column: key.column, key: key, fields: map[string]*node{}}
}

func lineOffsets(data []byte) []int {
	offsets := []int{0}
	for i, c := range data {
		if c == '\n' {
			offsets = append(offsets, i+1)
		}
	}
	return offsets
}

// parseFrom reads expressions from an offset until the end or a syntax error
// and returns where to go on.
func (b *builder) parseFrom(offset int) int {
	var p unstable.Parser
	// The slice's capacity is cut to its length because the parser computes
	// offsets from capacities.
	part := b.data[offset:len(b.data):len(b.data)]
	p.Reset(part)
	for p.NextExpression() {
		b.confirmDamage()
		b.expression(&p, offset, p.Expression())
	}
	err := p.Error()
	if err == nil {
		return len(b.data)
	}
	at := offset
	var syntax *unstable.ParserError
	if errors.As(err, &syntax) {
		at += cap(part) - cap(syntax.Highlight)
	}
	return b.resumeAfter(offset, at, err)
}

// resumeAfter reports a syntax error and returns the offset of the next line to
// read. A line that starts a table is tried on its own, because the value
// before it may lack its closing bracket.
func (b *builder) resumeAfter(start, at int, err error) int {
	line, column := b.place(at)
	found := findings.Finding{File: b.file, Line: line, Column: column, Severity: findings.Error, Message: "syntax error: " + err.Error()}
	list := *b.list
	repeated := len(list) > 0 && list[len(list)-1] == found
	if !repeated {
		*b.list = append(list, found)
		b.errors++
	}
	lineStart := b.lines[line-1]
	if lineStart > start && b.startsTable(lineStart) {
		b.suspect = b.current
		return lineStart
	}
	switch {
	case b.startsTable(lineStart):
		b.lost = append(b.lost, b.headerName(lineStart))
	case !repeated:
		b.current.damaged = true
	}
	b.suspect = nil
	return b.nextHeader(line)
}

// confirmDamage marks the table before a header that turned out to be sound:
// the syntax error in front of it belongs to that table.
func (b *builder) confirmDamage() {
	if b.suspect != nil {
		b.suspect.damaged = true
		b.suspect = nil
	}
}

// nextHeader returns the offset of the first line behind line that starts a
// table.
func (b *builder) nextHeader(line int) int {
	for _, offset := range b.lines[min(line, len(b.lines)):] {
		if b.startsTable(offset) {
			return offset
		}
	}
	return len(b.data)
}

// startsTable reports that the line at an offset looks like a table header.
func (b *builder) startsTable(offset int) bool {
	return bytes.HasPrefix(bytes.TrimLeft(b.data[offset:], " \t"), []byte("["))
}

// headerName guesses the first part of the name in an unreadable header.
func (b *builder) headerName(offset int) string {
	rest := bytes.TrimLeft(b.data[offset:], " \t[\"'")
	end := bytes.IndexFunc(rest, func(r rune) bool {
		return r != '_' && r != '-' && !unicode.IsLetter(r) && !unicode.IsDigit(r)
	})
	if end < 0 {
		end = len(rest)
	}
	return string(rest[:end])
}

// crossCheck lets go-toml decode the file too and reports what it rejects, so
// that nothing passes here that other TOML readers refuse.
func (b *builder) crossCheck() {
	var sink map[string]any
	err := toml.Unmarshal(b.data, &sink)
	if err == nil {
		return
	}
	line, column := 0, 0
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, column = decode.Position()
	}
	b.list.Errorf(b.file, line, column, "", "syntax error: %s", strings.TrimPrefix(err.Error(), "toml: "))
}

func (b *builder) place(offset int) (line, column int) {
	i := sort.SearchInts(b.lines, offset+1) - 1
	return i + 1, offset - b.lines[i] + 1
}

type keyPart struct {
	name         string
	line, column int
}

func (b *builder) keyParts(it unstable.Iterator, base int) []keyPart {
	var parts []keyPart
	for it.Next() {
		n := it.Node()
		line, column := b.place(base + int(n.Raw.Offset))
		parts = append(parts, keyPart{string(n.Data), line, column})
	}
	return parts
}

func (b *builder) expression(p *unstable.Parser, base int, e *unstable.Node) {
	switch e.Kind {
	case unstable.Table:
		b.table(b.keyParts(e.Key(), base))
	case unstable.ArrayTable:
		b.arrayTable(b.keyParts(e.Key(), base))
	case unstable.KeyValue:
		b.keyValue(p, base, b.current, e)
	}
}

// descend walks to the table that holds the last part of a key and creates
// tables on the way. It returns nil when a part is not a table.
func (b *builder) descend(from *node, parts []keyPart, dotted bool) *node {
	n := from
	for _, part := range parts[:len(parts)-1] {
		next := n.fields[part.name]
		if next == nil {
			next = newTable(part)
			n.set(part.name, next)
		}
		if next.kind == kindArray && !next.closed && !dotted {
			next = next.items[len(next.items)-1]
		}
		if next.kind != kindTable || next.closed {
			b.list.Errorf(b.file, part.line, part.column, "", "key %q already has a value of type %s and cannot be extended", part.name, kindNames[next.kind])
			return nil
		}
		n = next
	}
	return n
}

func (n *node) set(name string, child *node) {
	n.fields[name] = child
	n.order = append(n.order, name)
}

// detached is the target of keys below a rejected header, so that their own
// mistakes do not hide and nothing is overwritten.
func (b *builder) detached() { b.current = newTable(keyPart{}) }

func (b *builder) table(parts []keyPart) {
	last := parts[len(parts)-1]
	parent := b.descend(b.root, parts, false)
	if parent == nil {
		b.detached()
		return
	}
	n := parent.fields[last.name]
	switch {
	case n == nil:
		n = newTable(last)
		parent.set(last.name, n)
	case n.kind != kindTable || n.closed || n.header:
		b.list.Errorf(b.file, last.line, last.column, "", "table %q is defined twice; first at line %d", last.name, n.line)
		b.detached()
		return
	}
	n.header = true
	b.current = n
}

func (b *builder) arrayTable(parts []keyPart) {
	last := parts[len(parts)-1]
	parent := b.descend(b.root, parts, false)
	if parent == nil {
		b.detached()
		return
	}
	n := parent.fields[last.name]
	if n == nil {
		n = &node{kind: kindArray, line: last.line, column: last.column, key: last}
		parent.set(last.name, n)
	}
	if n.kind != kindArray || n.closed {
		b.list.Errorf(b.file, last.line, last.column, "", "key %q already has a value of type %s; first at line %d", last.name, kindNames[n.kind], n.line)
		b.detached()
		return
	}
	item := newTable(last)
	item.header = true
	n.items = append(n.items, item)
	b.current = item
}

func (b *builder) keyValue(p *unstable.Parser, base int, into *node, e *unstable.Node) {
	parts := b.keyParts(e.Key(), base)
	last := parts[len(parts)-1]
	value := b.value(p, base, e.Value(), last)
	parent := b.descend(into, parts, true)
	if parent == nil {
		return
	}
	if first := parent.fields[last.name]; first != nil {
		b.list.Errorf(b.file, last.line, last.column, "", "duplicate key %q; first at line %d", last.name, first.key.line)
		return
	}
	parent.set(last.name, value)
}

func (b *builder) value(p *unstable.Parser, base int, v *unstable.Node, key keyPart) *node {
	n := &node{line: key.line, column: key.column, key: key, text: string(v.Data)}
	if v.Raw.Length > 0 {
		n.line, n.column = b.place(base + int(v.Raw.Offset))
	}
	switch v.Kind {
	case unstable.String:
		n.kind = kindString
	case unstable.Bool:
		n.kind = kindBool
	case unstable.Integer:
		n.kind = kindInteger
	case unstable.Float:
		n.kind = kindFloat
	case unstable.Array:
		n.kind = kindArray
		n.closed = true
		for it := v.Children(); it.Next(); {
			n.items = append(n.items, b.value(p, base, it.Node(), key))
		}
	case unstable.InlineTable:
		n.kind = kindTable
		n.fields = map[string]*node{}
		for it := v.Children(); it.Next(); {
			b.keyValue(p, base, n, it.Node())
		}
		n.closed = true
	default:
		n.kind = kindTime
	}
	return n
}
