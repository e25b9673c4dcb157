package config

import (
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Position is a place in a settings file; lines and columns count from 1, columns
// in characters.
type Position struct{ Line, Column int }

// SyntaxError is an error with its place.
type SyntaxError struct {
	Position Position
	Message  string
}

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("%d:%d: %s", e.Position.Line, e.Position.Column, e.Message)
}

func syntaxErrorf(p Position, format string, args ...any) error {
	return &SyntaxError{p, fmt.Sprintf(format, args...)}
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

type sexpParser struct {
	src string
	at  int
	pos Position
}

// ParseExprs reads all expressions of src. Comments run from ; to the end of line.
func ParseExprs(src string) ([]Expr, error) {
	r := &sexpParser{src: src, pos: Position{1, 1}}
	var out []Expr
	for {
		r.space()
		if r.at == len(r.src) {
			return out, nil
		}
		e, err := r.expr(0)
		if err != nil {
			return nil, err
		}
		out = append(out, e)
	}
}

func (r *sexpParser) peek() rune {
	if r.at == len(r.src) {
		return -1
	}
	c, _ := utf8.DecodeRuneInString(r.src[r.at:])
	return c
}

func (r *sexpParser) next() rune {
	c, n := utf8.DecodeRuneInString(r.src[r.at:])
	r.at += n
	if c == '\n' {
		r.pos = Position{r.pos.Line + 1, 1}
	} else {
		r.pos.Column++
	}
	return c
}

func blank(c rune) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' }

func (r *sexpParser) space() {
	for r.at < len(r.src) {
		c := r.peek()
		if c == ';' {
			for r.at < len(r.src) && r.peek() != '\n' {
				r.next()
			}
		} else if blank(c) {
			r.next()
		} else {
			return
		}
	}
}

func (r *sexpParser) expr(depth int) (Expr, error) {
	e := Expr{Position: r.pos}
	if depth > maxDepth {
		return e, syntaxErrorf(r.pos, "nested deeper than %d", maxDepth)
	}
	switch c := r.peek(); {
	case c == '(':
		r.next()
		e.IsList = true
		for {
			r.space()
			if r.at == len(r.src) {
				return e, syntaxErrorf(e.Position, "this ( is never closed")
			}
			if r.peek() == ')' {
				r.next()
				return e, nil
			}
			sub, err := r.expr(depth + 1)
			if err != nil {
				return e, err
			}
			e.List = append(e.List, sub)
		}
	case c == ')':
		return e, syntaxErrorf(r.pos, "this ) closes nothing")
	case c == '"':
		from := r.at
		r.next()
		for {
			if r.at == len(r.src) || r.peek() == '\n' {
				return e, syntaxErrorf(e.Position, "this string is not closed on its line")
			}
			if c := r.next(); c == '\\' && r.at < len(r.src) {
				r.next()
			} else if c == '"' {
				break
			}
		}
		s, err := strconv.Unquote(r.src[from:r.at])
		if err != nil {
			return e, syntaxErrorf(e.Position, "malformed string")
		}
		e.Atom, e.Quoted = s, true
		return e, nil
	default:
		from := r.at
		for r.at < len(r.src) && !blank(r.peek()) && !strings.ContainsRune(`();"`, r.peek()) {
			r.next()
		}
		e.Atom = r.src[from:r.at]
		return e, nil
	}
}
