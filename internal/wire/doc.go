// Package wire holds the JSON messages of the protocols, in the protocols' own
// words. It is strict about what is valid and ignores fields it does not know.
package wire
