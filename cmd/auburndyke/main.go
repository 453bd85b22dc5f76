// Command auburndyke is the router's one binary.
package main

import (
	"os"

	"github.com/auburndyke/auburndyke/internal/cli"
)

func main() {
	os.Exit(cli.Main())
}
