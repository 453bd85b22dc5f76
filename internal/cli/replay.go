package cli

import (
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/auburndyke/auburndyke/internal/replay"
)

type replayOptions struct {
	faults   string
	policies []string
	seed     uint64
	json     bool
}

// NewReplayCommand returns the command that replays a recorded trace through the
// decision code in virtual time and reports its policies side by side.
func NewReplayCommand() *cobra.Command {
	var o replayOptions
	cmd := &cobra.Command{
		Use:   "replay TRACE",
		Short: "Replay a recorded trace in virtual time and compare policies",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.run(cmd, args[0])
		},
	}
	var all []string
	for _, name := range replay.Policies {
		all = append(all, string(name))
	}
	cmd.Flags().StringVar(&o.faults, "faults", "", "fault file to apply")
	cmd.Flags().StringSliceVar(&o.policies, "policies", all, "policies to compare")
	cmd.Flags().Uint64Var(&o.seed, "seed", 1, "seed of the policies' random choices")
	cmd.Flags().BoolVar(&o.json, "json", false, "write the report as JSON")
	cmd.AddCommand(newGenerateCommand())
	return cmd
}

func (o *replayOptions) run(cmd *cobra.Command, path string) error {
	policies, err := parsePolicies(o.policies)
	if err != nil {
		return err
	}
	trace, faults, err := load(path, o.faults)
	if err != nil {
		return err
	}
	report := replay.Replay(trace, faults, policies, o.seed)
	if o.json {
		return report.WriteJSON(cmd.OutOrStdout())
	}
	return report.WriteText(cmd.OutOrStdout())
}

func parsePolicies(names []string) ([]replay.PolicyName, error) {
	var policies []replay.PolicyName
	for _, name := range names {
		found := false
		for _, known := range replay.Policies {
			if string(known) == name {
				policies = append(policies, known)
				found = true
			}
		}
		if !found {
			return nil, eris.Errorf("policy %q does not exist, want one of %v", name, replay.Policies)
		}
	}
	return policies, nil
}

func load(tracePath, faultPath string) (*replay.Trace, []replay.Fault, error) {
	f, err := os.Open(tracePath)
	if err != nil {
		return nil, nil, eris.Wrap(err, "open trace")
	}
	defer f.Close()
	trace, err := replay.ReadTrace(f)
	if err != nil {
		return nil, nil, eris.Wrapf(err, "trace %s", tracePath)
	}
	if faultPath == "" {
		return trace, nil, nil
	}
	g, err := os.Open(faultPath)
	if err != nil {
		return nil, nil, eris.Wrap(err, "open fault file")
	}
	defer g.Close()
	faults, err := replay.ReadFaults(g)
	return trace, faults, eris.Wrapf(err, "fault file %s", faultPath)
}

func newGenerateCommand() *cobra.Command {
	var seed uint64
	var dir string
	cmd := &cobra.Command{
		Use:   "generate",
		Short: "Write the traces and fault files of all scenarios",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			for _, deployment := range replay.Deployments {
				for _, scenario := range replay.Scenarios {
					if err := generate(dir, deployment, scenario, seed); err != nil {
						return err
					}
				}
			}
			return nil
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the traces")
	cmd.Flags().StringVar(&dir, "dir", "testdata/traces", "directory to write to")
	return cmd
}

func generate(dir, deployment, scenario string, seed uint64) error {
	trace, faults, err := replay.Generate(deployment, scenario, seed)
	if err != nil {
		return err
	}
	base := filepath.Join(dir, deployment+"-"+scenario)
	if err := writeTo(base+".ndjson", func(f *os.File) error { return trace.Write(f) }); err != nil {
		return err
	}
	if len(faults) == 0 {
		return nil
	}
	return writeTo(base+".faults.ndjson", func(f *os.File) error { return replay.WriteFaults(f, faults) })
}

func writeTo(path string, write func(*os.File) error) error {
	f, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "create file")
	}
	if err := write(f); err != nil {
		_ = f.Close()
		return err
	}
	return eris.Wrapf(f.Close(), "write %s", path)
}
