package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"docksail/internal/batchclient"
	"docksail/internal/state/batchstore"
	"docksail/internal/state/recordstore"
)

// pollInterval is the time between two requests for the state of a batch whose progress is shown.
const pollInterval = time.Second

// keyVariable names the environment variable that has the API key.
const keyVariable = "DOCKSAIL_KEY"

// batchCommand returns the command batch, whose subcommands use the batch API or its store.
func batchCommand() *cobra.Command {
	client := &batchclient.Client{}
	c := &cobra.Command{Use: "batch", Short: "Submit files of requests as batches, show their progress, fetch results"}
	c.PersistentFlags().StringVar(&client.Address, "at", "http://127.0.0.1:7610", "address of the batch API")
	c.PersistentFlags().StringVar(&client.APIKey, "key", "", "API key, by default $DOCKSAIL_KEY")
	c.PersistentPreRun = func(c *cobra.Command, _ []string) { // not a flag's default, which the help shows
		if !c.Flags().Changed("key") {
			client.APIKey = os.Getenv(keyVariable)
		}
	}
	c.AddCommand(submitCommand(client), batchStatusCommand(client), fetchCommand(client), cancelCommand(client))
	c.AddCommand(verifyCommand(), compactCommand())
	return c
}

func submitCommand(client *batchclient.Client) *cobra.Command {
	var window string
	var wait bool
	c := &cobra.Command{
		Use:   "submit FILE",
		Short: "Upload a file with one request per line and create a batch from it",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			batch, err := client.Submit(c.Context(), args[0], window)
			if err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), batch.ID)
			if !wait {
				return nil
			}
			return followBatch(c.Context(), client, batch.ID, os.Stderr)
		},
	}
	c.Flags().StringVar(&window, "window", "24h", "completion window of the batch")
	c.Flags().BoolVar(&wait, "wait", false, "show progress until the batch has ended")
	return c
}

func batchStatusCommand(client *batchclient.Client) *cobra.Command {
	var follow bool
	c := &cobra.Command{
		Use:   "status BATCH",
		Short: "Show the state of a batch",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if follow {
				return followBatch(c.Context(), client, args[0], os.Stderr)
			}
			batch, err := client.Batch(c.Context(), args[0])
			if err != nil {
				return err
			}
			out := c.OutOrStdout()
			batch.PrintProgress(out)
			fmt.Fprintln(out)
			for _, line := range batch.Errors.Data {
				fmt.Fprintf(out, "  line %d: %s\n", line.Line, line.Message)
			}
			return nil
		},
	}
	c.Flags().BoolVar(&follow, "follow", false, "show progress until the batch has ended")
	return c
}

func fetchCommand(client *batchclient.Client) *cobra.Command {
	var failed bool
	c := &cobra.Command{
		Use:   "fetch BATCH",
		Short: "Write a batch's results to standard output",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			batch, err := client.Batch(c.Context(), args[0])
			if err != nil {
				return err
			}
			fileID := batch.OutputFileID
			if failed {
				fileID = batch.ErrorFileID
			}
			if fileID == "" {
				return fmt.Errorf("batch %s with status %s does not have the requested file", batch.ID, batch.Status)
			}
			return client.CopyContent(c.Context(), fileID, c.OutOrStdout())
		},
	}
	c.Flags().BoolVar(&failed, "errors", false, "write the failed lines and their errors in place of the results")
	return c
}

func cancelCommand(client *batchclient.Client) *cobra.Command {
	return &cobra.Command{
		Use:   "cancel BATCH",
		Short: "Cancel a batch",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			batch, err := client.Cancel(c.Context(), args[0])
			if err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), batch.Status)
			return nil
		},
	}
}

// followBatch shows the progress of a batch on one line until the batch has ended. It returns an error unless the
// status is then completed.
func followBatch(ctx context.Context, client *batchclient.Client, id string, w io.Writer) error {
	for {
		batch, err := client.Batch(ctx, id)
		if err != nil {
			return err
		}
		fmt.Fprint(w, "\r")
		batch.PrintProgress(w)
		if batch.IsTerminal() {
			fmt.Fprintln(w)
			if batch.Status != "completed" {
				return fmt.Errorf("batch ended with status %s", batch.Status)
			}
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func verifyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "verify DIR",
		Short: "Check every record and line of a store that no dispatcher has open",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			store, err := batchstore.Open(args[0], 0)
			if err != nil {
				return err
			}
			defer store.Close()
			records, corrupt, err := store.Verify()
			if err != nil {
				return err
			}
			for _, record := range corrupt {
				fmt.Fprintln(c.OutOrStdout(), record)
			}
			fmt.Fprintf(c.OutOrStdout(), "%d records, %d corrupt\n", records, len(corrupt))
			if len(corrupt) > 0 {
				return fmt.Errorf("%s has corrupt records", args[0])
			}
			return nil
		},
	}
}

func compactCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "compact DIR",
		Short: "Reclaim the space of ended batches in a store that no dispatcher has open",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			before, after, err := recordstore.Compact(filepath.Join(args[0], "vault"))
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%d bytes, %d before\n", after, before)
			return nil
		},
	}
}
