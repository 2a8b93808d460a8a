// Package sizeclass tells the largest jobs of a queue from the others, so that logs and metrics show
// whether they are served less often.
//
// All types are immutable values.
package sizeclass
