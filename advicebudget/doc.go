// Package advicebudget decides how the capacity of the advice service is used while it is short.
//
// A lane is one call at a time for each box. Load measures how many lanes cheap and costly calls
// use, and Divide keeps lanes for cheap calls accordingly.
//
// All types are immutable values, and the current time is passed as an argument.
package advicebudget
