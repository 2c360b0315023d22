package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	pb "docksail/api/docksail/v1"
	"docksail/internal/lab/book"
	"docksail/internal/lab/drill"
)

func labCommand() *cobra.Command {
	lab := &cobra.Command{Use: "lab", Short: "Play with stand-ins on loopback"}
	lab.AddCommand(demoCommand(), drillCommand())
	return lab
}

func demoCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "demo",
		Short: "Start stand-in engines, a lister and a dispatcher, and stream one answer",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			out := c.OutOrStdout()
			log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelWarn}))
			s := drill.Demo()
			stage, err := drill.Open(s, log)
			if err != nil {
				return err
			}
			defer stage.Close()
			fmt.Fprintf(out, "dispatcher at %s, %d stand-in engines\n", stage.Targets()[0], len(stage.Engines))
			ctx, cancel := context.WithTimeout(c.Context(), 10*time.Second)
			defer cancel()
			conn, err := grpc.NewClient(stage.Targets()[0], grpc.WithTransportCredentials(insecure.NewCredentials()))
			if err != nil {
				return err
			}
			defer conn.Close()
			begin := time.Now()
			stream, err := pb.NewGenerationClient(conn).Generate(ctx, &pb.GenerateRequest{Track: s.Load[0].Name,
				PromptTokens: 1200, MaxTokens: 40, Session: "demo", Label: "demo", Prompt: []byte("Is my shift confirmed?")})
			if err != nil {
				return err
			}
			n := 0
			for {
				tok, err := stream.Recv()
				if err == io.EOF {
					break
				}
				if err != nil {
					return err
				}
				if n == 0 {
					fmt.Fprintf(out, "first token after %v\n", time.Since(begin).Round(time.Millisecond))
				}
				for _, t := range tok.Tokens {
					fmt.Fprintf(out, "%d ", t)
					n++
				}
			}
			fmt.Fprintf(out, "\nhonoured: %d tokens in %v\n", n, time.Since(begin).Round(time.Millisecond))
			return nil
		},
	}
}

func drillCommand() *cobra.Command {
	var level slog.Level
	var entries string
	c := &cobra.Command{
		Use:   "drill SCRIPT",
		Short: "Play a scripted day in real time and judge the rules from what passed on the sockets",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := drill.Load(args[0])
			if err != nil {
				return err
			}
			log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
			stage, err := drill.Open(s, log)
			if err != nil {
				return err
			}
			defer stage.Close()
			rep, err := stage.Play(c.Context())
			if err != nil {
				return err
			}
			rep.Print(c.OutOrStdout())
			if entries != "" {
				f, err := os.Create(entries)
				if err != nil {
					return err
				}
				if err := book.Write(f, rep.Entries); err != nil {
					f.Close()
					return err
				}
				if err := f.Close(); err != nil {
					return err
				}
			}
			if n := len(rep.Violations); n > 0 {
				return fmt.Errorf("%d broken rules", n)
			}
			return nil
		},
	}
	c.Flags().TextVar(&level, "log", slog.LevelWarn, "least level of log lines: debug, info, warn, error")
	c.Flags().StringVar(&entries, "entries", "", "write what passed on the sockets to this file")
	return c
}
