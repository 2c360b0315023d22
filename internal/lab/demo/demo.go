// Package demo starts stand-in engines, a discovery server and a dispatcher on loopback, and streams one answer
// through them.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	pb "docksail/api/docksail/v1"
	"docksail/internal/lab/scenario"
)

const (
	answerTimeout   = 10 * time.Second
	promptTokens    = 1200
	maxAnswerTokens = 40
)

// Run starts the deployment of scenario.Demo, sends one request and writes the tokens of its answer to w as they
// arrive.
func Run(ctx context.Context, w io.Writer, log *slog.Logger) error {
	script := scenario.Demo()
	deployment, err := scenario.Start(script, log)
	if err != nil {
		return err
	}
	defer deployment.Close()
	address := deployment.Addresses()[0]
	fmt.Fprintf(w, "dispatcher at %s, %d stand-in engines\n", address, len(deployment.Engines))
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	return streamAnswer(ctx, w, pb.NewGenerationClient(conn), script.Classes[0].Name)
}

// streamAnswer sends one request of the given class and writes the tokens of its answer to w as they arrive.
func streamAnswer(ctx context.Context, w io.Writer, client pb.GenerationClient, class string) error {
	start := time.Now()
	stream, err := client.Generate(ctx, &pb.GenerateRequest{
		Track: class, PromptTokens: promptTokens, MaxTokens: maxAnswerTokens, Session: "demo", Label: "demo",
		Prompt: []byte("Is my shift confirmed?"),
	})
	if err != nil {
		return err
	}
	count := 0
	for {
		tokens, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		if count == 0 {
			fmt.Fprintf(w, "first token after %v\n", time.Since(start).Round(time.Millisecond))
		}
		for _, token := range tokens.Tokens {
			fmt.Fprintf(w, "%d ", token)
			count++
		}
	}
	fmt.Fprintf(w, "\nserved: %d tokens in %v\n", count, time.Since(start).Round(time.Millisecond))
	return nil
}
