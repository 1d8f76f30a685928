package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"laburnumdock/internal/api"
	"laburnumdock/internal/core/model"
)

func waveCommand() *cli.Command {
	return &cli.Command{
		Name: "wave", Usage: "start, pause, resume and follow maintenance waves",
		Commands: []*cli.Command{
			waveVerb("start", "start a wave", "started"),
			waveVerb("pause", "stop no further hosts; hosts in a planned stop return to service", "paused"),
			waveVerb("resume", "resume a paused wave", "resumed"),
			{
				Name: "status", Usage: "show the progress of a wave and why hosts wait", ArgsUsage: "WAVE",
				Flags:  []cli.Flag{&cli.BoolFlag{Name: "follow", Usage: "show the progress until the wave has ended"}},
				Action: runWaveStatus,
			},
		},
	}
}

func waveVerb(verb, usage, outcome string) *cli.Command {
	return &cli.Command{
		Name: verb, Usage: usage, ArgsUsage: "WAVE", Flags: verbFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			args, err := exactArgs(c, "WAVE")
			if err != nil {
				return err
			}
			return runVerb(ctx, c, model.KindWave, args[0], verb, outcome, api.VerbBody{})
		},
	}
}

func runWaveStatus(ctx context.Context, c *cli.Command) error {
	args, err := exactArgs(c, "WAVE")
	if err != nil {
		return err
	}
	client, err := clientFromFlags(c)
	if err != nil {
		return err
	}
	d, data, err := client.describe(ctx, model.KindWave, args[0])
	if err != nil {
		return err
	}
	obj, err := decodeResource(model.KindWave, d.Object)
	if err != nil {
		return err
	}
	wave := obj.(*model.Wave)
	err = printResponse(c, data, func(w io.Writer) error {
		if err := printProgress(w, wave); err != nil {
			return err
		}
		return printWaits(w, d.Waits)
	})
	if err != nil || !c.Bool("follow") || isEnded(wave) {
		return err
	}
	return followWave(ctx, c, client, wave.Name, d.Version)
}

func isEnded(w *model.Wave) bool {
	return w.Status.Phase == model.WaveFinished || w.Status.Phase == model.WaveCancelled
}

// followWave prints each change of a wave until the wave ends.
func followWave(ctx context.Context, c *cli.Command, client *Client, name string, from uint64) error {
	w := &watcher{client: client, kinds: []string{string(model.KindWave)}, version: from, errOut: c.Root().ErrWriter}
	return w.run(ctx, func(e watchEvent) error {
		if e.Name != name {
			return nil
		}
		if e.Deleted {
			_, err := fmt.Fprintf(c.Root().Writer, "wave %s was deleted\n", name)
			return endWatchIf(err, true)
		}
		obj, err := decodeResource(model.KindWave, e.Object)
		if err != nil {
			return err
		}
		wave := obj.(*model.Wave)
		return endWatchIf(printProgress(c.Root().Writer, wave), isEnded(wave))
	})
}

// endWatchIf returns err, or errWatchDone if err is nil and done is set.
func endWatchIf(err error, done bool) error {
	if err == nil && done {
		return errWatchDone
	}
	return err
}

func printProgress(w io.Writer, wave *model.Wave) error {
	text := fmt.Sprintf("wave %s %s: %d of %d hosts done, %d stopped, %d waiting",
		wave.Name, wave.Status.Phase, len(wave.Status.Done), wave.Status.Total, len(wave.Status.Stopped), len(wave.Status.Waiting))
	if wave.Status.Reason != model.ReasonNone {
		text += fmt.Sprintf(" (%s)", wave.Status.Reason)
	}
	_, err := fmt.Fprintln(w, text)
	return err
}
