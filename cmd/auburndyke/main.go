// Command auburndyke is the router's one binary.
package main

import (
	"fmt"
	"os"

	"github.com/auburndyke/auburndyke/internal/adapters/cli"
)

func main() {
	err := cli.NewRootCommand().Execute()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(cli.ExitCode(err))
}
