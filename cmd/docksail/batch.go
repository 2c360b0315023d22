package main

import (
	"bytes"
	"context"
	"docksail/internal/batchrunner"
	"docksail/internal/config"
	"docksail/internal/decide/batchscheduler"
	"docksail/internal/state/batchstore"
	"docksail/internal/state/recordstore"
	"docksail/policy"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"mime/multipart"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	frontend "docksail/internal/frontend/batch"
)

const sweepEvery = time.Hour

// startBatches serves the batch API of a dispatcher that listens at an address; stop ends it and waits.
func startBatches(ctx context.Context, s *config.Dispatcher, at netip.AddrPort, log *slog.Logger) (stop func(), err error) {
	b := &s.Batch
	store, err := batchstore.Open(b.Directory, b.QuotaBytes)
	if err != nil {
		return nil, err
	}
	plan := batchrunner.Config{Classes: map[string]batchrunner.Class{}, DispatcherAddress: at.String(), MaxLinesInFlight: b.MaxLinesInFlight, InitialBackoff: b.InitialBackoff, MaxLines: b.MaxLines, MaxLineBytes: b.MaxLineBytes, Seed: s.Seed}
	if at.Addr().IsUnspecified() {
		plan.DispatcherAddress = net.JoinHostPort("localhost", fmt.Sprint(at.Port()))
	}
	for _, t := range s.Classes {
		plan.Classes[t.Name] = batchrunner.Class{Effect: map[policy.Idempotency]batchscheduler.Effect{
			policy.Idempotent: batchscheduler.Idempotent, policy.Deduplicated: batchscheduler.Deduplicated,
			policy.NonIdempotent: batchscheduler.NonIdempotent,
		}[policy.Idempotency(t.Idempotency)], DeduplicationWindow: t.DedupWindow, Timeout: t.Timeout}
	}
	for _, t := range s.Tenants {
		w := t.Weight
		if w == 0 {
			w = t.RequestsPerSecond
		}
		plan.Tenants = append(plan.Tenants, batchrunner.Tenant{Name: t.Name, Weight: w})
	}
	keys := map[string]string{}
	for _, k := range b.Keys {
		keys[strings.ToLower(k.Hash)] = k.Tenant
	}
	ctx, cancel := context.WithCancel(ctx)
	fail := func(err error) (func(), error) {
		cancel()
		store.Close()
		return nil, fmt.Errorf("batch API: %w", err)
	}
	r, err := batchrunner.New(store, plan, log)
	if err != nil {
		return fail(err)
	}
	srv, err := frontend.New(ctx, store, r, frontend.Limits{MaxFileBytes: b.MaxFileBytes, MaxCompletionWindow: b.MaxCompletionWindow, MaxHeaderBytes: s.Limits.MaxHeaderBytes}, keys, log)
	if err != nil {
		return fail(err)
	}
	ln, err := net.Listen("tcp", b.Listen.String())
	if err != nil {
		return fail(err)
	}
	log.Info("batch API", "at", ln.Addr().String(), "dir", b.Directory)
	var wg sync.WaitGroup
	run := func(what string, f func() error) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := f(); err != nil {
				log.Error(what, "err", err)
			}
		}()
	}
	run("batches", func() error { return r.Run(ctx) })
	run("batch API", func() error { return srv.Serve(ctx, ln) })
	if b.FileRetention > 0 {
		run("sweep", func() error {
			for tick := time.Tick(sweepEvery); ; {
				n, err := store.DeleteFilesOlderThan(time.Now(), b.FileRetention)
				if err != nil {
					log.Error("old files not deleted", "err", err)
				} else if n > 0 {
					log.Info("old files deleted", "files", n)
				}
				select {
				case <-tick:
				case <-ctx.Done():
					return nil
				}
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
		if err := store.Close(); err != nil {
			log.Error("store of batches", "err", err)
		}
	}, nil
}

// caller speaks to a batch API.
type caller struct{ at, key string }

func (c *caller) call(ctx context.Context, method, path, kind string, body io.Reader, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.at, "/")+path, body)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	if kind != "" {
		req.Header.Set("Content-Type", kind)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode/100 != 2 {
		var e struct {
			Error struct{ Message, Code string }
		}
		json.NewDecoder(res.Body).Decode(&e)
		return fmt.Errorf("%s %s: %s: %s", method, path, res.Status, e.Error.Message)
	}
	if w, ok := into.(io.Writer); ok {
		_, err = io.Copy(w, res.Body)
		return err
	}
	return json.NewDecoder(res.Body).Decode(into)
}

type shownBatch struct {
	ID       string
	Status   string
	Output   string                                 `json:"output_file_id"`
	Errors   string                                 `json:"error_file_id"`
	Forecast int64                                  `json:"forecast_at"`
	Expires  int64                                  `json:"expires_at"`
	Counts   struct{ Total, Completed, Failed int } `json:"request_counts"`
	Faults   struct {
		Data []struct {
			Line    int
			Message string
		}
	} `json:"errors"`
}

func (b *shownBatch) over() bool {
	switch b.Status {
	case "completed", "failed", "expired", "cancelled":
		return true
	}
	return false
}

func (b *shownBatch) print(w io.Writer) {
	const width = 30
	done := 0
	if b.Counts.Total > 0 {
		done = width * (b.Counts.Completed + b.Counts.Failed) / b.Counts.Total
	}
	fmt.Fprintf(w, "%s %-11s [%s%s] %d done, %d lost of %d", b.ID, b.Status, strings.Repeat("#", done), strings.Repeat(".", width-done),
		b.Counts.Completed, b.Counts.Failed, b.Counts.Total)
	if b.Forecast > 0 {
		fmt.Fprintf(w, ", through about %s", time.Unix(b.Forecast, 0).Format(time.TimeOnly))
		if b.Forecast > b.Expires {
			fmt.Fprint(w, ", AFTER its window")
		}
	}
}

func batchCommand() *cobra.Command {
	c := &caller{}
	root := &cobra.Command{Use: "batch", Short: "Hand in files of jobs, look at them, fetch what came of them"}
	root.PersistentFlags().StringVar(&c.at, "at", "http://127.0.0.1:7610", "address of the batch API")
	root.PersistentFlags().StringVar(&c.key, "key", os.Getenv("DOCKSAIL_KEY"), "key; usually from DOCKSAIL_KEY")
	var window string
	var wait bool
	submit := &cobra.Command{
		Use: "submit FILE", Short: "Hand in a file of lines and begin its batch", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := os.Open(args[0])
			if err != nil {
				return err
			}
			defer f.Close()
			body, into := io.Pipe()
			form := multipart.NewWriter(into)
			go func() {
				err := form.WriteField("purpose", "batch")
				var part io.Writer
				if err == nil {
					part, err = form.CreateFormFile("file", filepath.Base(args[0]))
				}
				if err == nil {
					_, err = io.Copy(part, f)
				}
				into.CloseWithError(errors.Join(err, form.Close()))
			}()
			var file struct{ ID string }
			if err := c.call(cmd.Context(), "POST", "/v1/files", form.FormDataContentType(), body, &file); err != nil {
				return err
			}
			q, err := json.Marshal(map[string]any{"input_file_id": file.ID, "endpoint": batchrunner.CompletionsEndpoint, "completion_window": window})
			if err != nil {
				return err
			}
			var b shownBatch
			if err := c.call(cmd.Context(), "POST", "/v1/batches", "application/json", bytes.NewReader(q), &b); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), b.ID)
			if wait {
				return c.follow(cmd, b.ID)
			}
			return nil
		},
	}
	submit.Flags().StringVar(&window, "window", "24h", "completion window")
	submit.Flags().BoolVar(&wait, "wait", false, "show progress until it is over")
	var follow bool
	status := &cobra.Command{
		Use: "status BATCH", Short: "Show where a batch stands", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if follow {
				return c.follow(cmd, args[0])
			}
			var b shownBatch
			if err := c.call(cmd.Context(), "GET", "/v1/batches/"+args[0], "", nil, &b); err != nil {
				return err
			}
			b.print(cmd.OutOrStdout())
			fmt.Fprintln(cmd.OutOrStdout())
			for _, f := range b.Faults.Data {
				fmt.Fprintf(cmd.OutOrStdout(), "  line %d: %s\n", f.Line, f.Message)
			}
			return nil
		},
	}
	status.Flags().BoolVar(&follow, "follow", false, "show progress until it is over")
	var lost bool
	fetch := &cobra.Command{
		Use: "fetch BATCH", Short: "Write a batch's results to standard output", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var b shownBatch
			if err := c.call(cmd.Context(), "GET", "/v1/batches/"+args[0], "", nil, &b); err != nil {
				return err
			}
			id := b.Output
			if lost {
				id = b.Errors
			}
			if id == "" {
				return fmt.Errorf("batch %s is %s and has no such file", b.ID, b.Status)
			}
			return c.call(cmd.Context(), "GET", "/v1/files/"+id+"/content", "", nil, cmd.OutOrStdout())
		},
	}
	fetch.Flags().BoolVar(&lost, "errors", false, "the lines that were lost, and why, in place of the results")
	cancel := &cobra.Command{
		Use: "cancel BATCH", Short: "Cancel a batch", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var b shownBatch
			if err := c.call(cmd.Context(), "POST", "/v1/batches/"+args[0]+"/cancel", "", nil, &b); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), b.Status)
			return nil
		},
	}
	root.AddCommand(submit, status, fetch, cancel, verifyCommand(), compactCommand())
	return root
}

func (c *caller) follow(cmd *cobra.Command, id string) error {
	for {
		var b shownBatch
		if err := c.call(cmd.Context(), "GET", "/v1/batches/"+id, "", nil, &b); err != nil {
			return err
		}
		fmt.Fprint(os.Stderr, "\r")
		b.print(os.Stderr)
		if b.over() {
			fmt.Fprintln(os.Stderr)
			if b.Status != "completed" {
				return fmt.Errorf("batch %s", b.Status)
			}
			return nil
		}
		select {
		case <-time.After(time.Second):
		case <-cmd.Context().Done():
			return cmd.Context().Err()
		}
	}
}

func verifyCommand() *cobra.Command {
	return &cobra.Command{
		Use: "verify DIR", Short: "Look at every record and line of a store that no dispatcher has open", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := batchstore.Open(args[0], 0)
			if err != nil {
				return err
			}
			defer s.Close()
			all, rotten, err := s.Verify()
			if err != nil {
				return err
			}
			for _, r := range rotten {
				fmt.Fprintln(cmd.OutOrStdout(), r)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d records, %d not what was written\n", all, len(rotten))
			if len(rotten) > 0 {
				return fmt.Errorf("%s is damaged", args[0])
			}
			return nil
		},
	}
}

func compactCommand() *cobra.Command {
	return &cobra.Command{
		Use: "compact DIR", Short: "Give back the room that ended batches had in a store that no dispatcher has open", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			before, after, err := recordstore.Compact(filepath.Join(args[0], "vault"))
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d bytes, %d before\n", after, before)
			return nil
		},
	}
}
