package config

import (
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Position is a place in a settings file; lines and columns count from 1, columns in
// characters.
type Position struct{ Line, Column int }

// SyntaxError is an error in an operators' settings file, with its place.
type SyntaxError struct {
	Position Position
	Message  string
}

// Error has the form line:column: message.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("%d:%d: %s", e.Position.Line, e.Position.Column, e.Message)
}

func syntaxErrorf(position Position, format string, args ...any) error {
	return &SyntaxError{position, fmt.Sprintf(format, args...)}
}

// Expr is an S-expression: a list, or an atom (a word or a quoted string).
type Expr struct {
	Position Position
	List     []Expr
	Atom     string
	IsList   bool
	Quoted   bool
}

// maxDepth bounds nesting, so that no file can exhaust the stack.
const maxDepth = 64

// endOfFile is what peek returns after the last character.
const endOfFile = -1

// sexpParser reads expressions off a text by recursive descent.
type sexpParser struct {
	src      string
	offset   int // of the next character, in bytes
	position Position
}

// ParseExprs reads all expressions of src. Comments run from ; to the end of the line. Every
// error is a SyntaxError.
func ParseExprs(src string) ([]Expr, error) {
	p := &sexpParser{src: src, position: Position{1, 1}}
	var out []Expr
	for {
		p.skipSpace()
		if p.atEnd() {
			return out, nil
		}
		e, err := p.expr(0)
		if err != nil {
			return nil, err
		}
		out = append(out, e)
	}
}

func (p *sexpParser) atEnd() bool { return p.offset == len(p.src) }

// peek returns the next character without reading it.
func (p *sexpParser) peek() rune {
	if p.atEnd() {
		return endOfFile
	}
	c, _ := utf8.DecodeRuneInString(p.src[p.offset:])
	return c
}

// next reads a character.
func (p *sexpParser) next() rune {
	c, size := utf8.DecodeRuneInString(p.src[p.offset:])
	p.offset += size
	if c == '\n' {
		p.position = Position{p.position.Line + 1, 1}
	} else {
		p.position.Column++
	}
	return c
}

func isSpace(c rune) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' }

// skipSpace reads up to the next expression: white space and comments.
func (p *sexpParser) skipSpace() {
	for !p.atEnd() {
		switch c := p.peek(); {
		case c == ';':
			p.skipLine()
		case isSpace(c):
			p.next()
		default:
			return
		}
	}
}

func (p *sexpParser) skipLine() {
	for !p.atEnd() && p.peek() != '\n' {
		p.next()
	}
}

// expr reads one expression.
func (p *sexpParser) expr(depth int) (Expr, error) {
	if depth > maxDepth {
		return Expr{}, syntaxErrorf(p.position, "nested deeper than %d", maxDepth)
	}
	switch p.peek() {
	case '(':
		return p.list(depth)
	case ')':
		return Expr{}, syntaxErrorf(p.position, "this ) closes nothing")
	case '"':
		return p.quoted()
	default:
		return p.word(), nil
	}
}

func (p *sexpParser) list(depth int) (Expr, error) {
	list := Expr{Position: p.position, IsList: true}
	p.next()
	for {
		p.skipSpace()
		if p.atEnd() {
			return Expr{}, syntaxErrorf(list.Position, "this ( is never closed")
		}
		if p.peek() == ')' {
			p.next()
			return list, nil
		}
		element, err := p.expr(depth + 1)
		if err != nil {
			return Expr{}, err
		}
		list.List = append(list.List, element)
	}
}

// quoted reads a string in double quotes, with the escapes of Go's.
func (p *sexpParser) quoted() (Expr, error) {
	position, start := p.position, p.offset
	p.next()
	for {
		if p.atEnd() || p.peek() == '\n' {
			return Expr{}, syntaxErrorf(position, "this string is not closed on its line")
		}
		c := p.next()
		if c == '"' {
			break
		}
		if c == '\\' && !p.atEnd() {
			p.next()
		}
	}
	text, err := strconv.Unquote(p.src[start:p.offset])
	if err != nil {
		return Expr{}, syntaxErrorf(position, "malformed string")
	}
	return Expr{Position: position, Atom: text, Quoted: true}, nil
}

func (p *sexpParser) word() Expr {
	position, start := p.position, p.offset
	for !p.atEnd() && !isSpace(p.peek()) && !strings.ContainsRune(`();"`, p.peek()) {
		p.next()
	}
	return Expr{Position: position, Atom: p.src[start:p.offset]}
}
