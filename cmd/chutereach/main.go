// Chutereach is the command-line tool of a chutereach cell.
package main

import (
	"os"

	"chutereach/tool"
)

func main() { os.Exit(tool.Main(os.Args[1:])) }
