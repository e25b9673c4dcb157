package config

import (
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Position is a position in a settings file. Line and Column start at 1; columns count
// characters, not bytes.
type Position struct{ Line, Column int }

// SyntaxError describes an error in an operators' settings file and its position.
type SyntaxError struct {
	Position Position
	Message  string
}

// Error returns the error as "line:column: message".
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("%d:%d: %s", e.Position.Line, e.Position.Column, e.Message)
}

func syntaxErrorf(position Position, format string, args ...any) error {
	return &SyntaxError{position, fmt.Sprintf(format, args...)}
}

// Expr is an S-expression: a list, or an atom (a word or a quoted string).
type Expr struct {
	Position Position // position of the first character
	List     []Expr   // elements of a list
	Atom     string   // text of an atom, unquoted
	IsList   bool     // whether the expression is a list
	Quoted   bool     // whether an atom is a quoted string
}

// maxDepth limits the nesting of lists, so that no file can exhaust the stack.
const maxDepth = 64

// endOfInput is the value that peek returns after the last character.
const endOfInput = -1

// sexpParser is a recursive descent parser for S-expressions.
type sexpParser struct {
	source   string
	offset   int      // byte offset of the next character
	position Position // position of the next character
}

// ParseExprs parses all expressions of source. Comments start with ; and end with the line.
// Every error is a *SyntaxError.
func ParseExprs(source string) ([]Expr, error) {
	p := &sexpParser{source: source, position: Position{1, 1}}
	var exprs []Expr
	for {
		p.skipSpace()
		if p.atEnd() {
			return exprs, nil
		}
		e, err := p.parseExpr(0)
		if err != nil {
			return nil, err
		}
		exprs = append(exprs, e)
	}
}

func (p *sexpParser) atEnd() bool { return p.offset == len(p.source) }

// peek returns the next character without consuming it.
func (p *sexpParser) peek() rune {
	if p.atEnd() {
		return endOfInput
	}
	c, _ := utf8.DecodeRuneInString(p.source[p.offset:])
	return c
}

// next consumes and returns one character.
func (p *sexpParser) next() rune {
	c, size := utf8.DecodeRuneInString(p.source[p.offset:])
	p.offset += size
	if c == '\n' {
		p.position = Position{p.position.Line + 1, 1}
	} else {
		p.position.Column++
	}
	return c
}

func isSpace(c rune) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' }

// skipSpace skips white space and comments.
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

// parseExpr parses one expression. depth is the number of lists that enclose it.
func (p *sexpParser) parseExpr(depth int) (Expr, error) {
	if depth > maxDepth {
		return Expr{}, syntaxErrorf(p.position, "nested deeper than %d", maxDepth)
	}
	switch p.peek() {
	case '(':
		return p.parseList(depth)
	case ')':
		return Expr{}, syntaxErrorf(p.position, "this ) closes nothing")
	case '"':
		return p.parseString()
	default:
		return p.parseWord(), nil
	}
}

func (p *sexpParser) parseList(depth int) (Expr, error) {
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
		element, err := p.parseExpr(depth + 1)
		if err != nil {
			return Expr{}, err
		}
		list.List = append(list.List, element)
	}
}

// parseString parses a string in double quotes, with the escape sequences of Go strings.
func (p *sexpParser) parseString() (Expr, error) {
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
	text, err := strconv.Unquote(p.source[start:p.offset])
	if err != nil {
		return Expr{}, syntaxErrorf(position, "malformed string")
	}
	return Expr{Position: position, Atom: text, Quoted: true}, nil
}

func (p *sexpParser) parseWord() Expr {
	position, start := p.position, p.offset
	for !p.atEnd() && !isSpace(p.peek()) && !strings.ContainsRune(`();"`, p.peek()) {
		p.next()
	}
	return Expr{Position: position, Atom: p.source[start:p.offset]}
}
