package config

import (
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Pos is a place in a settings file; lines and columns count from 1, columns
// in characters.
type Pos struct{ Line, Col int }

// SyntaxError is an error with its place.
type SyntaxError struct {
	Pos Pos
	Msg string
}

func (e *SyntaxError) Error() string { return fmt.Sprintf("%d:%d: %s", e.Pos.Line, e.Pos.Col, e.Msg) }

func errorAt(p Pos, format string, args ...any) error {
	return &SyntaxError{p, fmt.Sprintf(format, args...)}
}

// Expr is an S-expression: a list, or an atom (a word or a quoted string).
type Expr struct {
	Pos    Pos
	List   []Expr
	Atom   string
	IsList bool
	Quoted bool
}

// maxDepth bounds nesting, so that no file can exhaust the stack.
const maxDepth = 64

type sexpReader struct {
	src string
	at  int
	pos Pos
}

// ParseSexp reads all expressions of src. Comments run from ; to the end of line.
func ParseSexp(src string) ([]Expr, error) {
	r := &sexpReader{src: src, pos: Pos{1, 1}}
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

func (r *sexpReader) peek() rune {
	if r.at == len(r.src) {
		return -1
	}
	c, _ := utf8.DecodeRuneInString(r.src[r.at:])
	return c
}

func (r *sexpReader) next() rune {
	c, n := utf8.DecodeRuneInString(r.src[r.at:])
	r.at += n
	if c == '\n' {
		r.pos = Pos{r.pos.Line + 1, 1}
	} else {
		r.pos.Col++
	}
	return c
}

func blank(c rune) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' }

func (r *sexpReader) space() {
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

func (r *sexpReader) expr(depth int) (Expr, error) {
	e := Expr{Pos: r.pos}
	if depth > maxDepth {
		return e, errorAt(r.pos, "nested deeper than %d", maxDepth)
	}
	switch c := r.peek(); {
	case c == '(':
		r.next()
		e.IsList = true
		for {
			r.space()
			if r.at == len(r.src) {
				return e, errorAt(e.Pos, "this ( is never closed")
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
		return e, errorAt(r.pos, "this ) closes nothing")
	case c == '"':
		from := r.at
		r.next()
		for {
			if r.at == len(r.src) || r.peek() == '\n' {
				return e, errorAt(e.Pos, "this string is not closed on its line")
			}
			if c := r.next(); c == '\\' && r.at < len(r.src) {
				r.next()
			} else if c == '"' {
				break
			}
		}
		s, err := strconv.Unquote(r.src[from:r.at])
		if err != nil {
			return e, errorAt(e.Pos, "malformed string")
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
