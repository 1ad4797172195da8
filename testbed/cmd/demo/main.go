// Command demo runs a whole deployment on one machine: a simulated platform, simulated
// model engines and plain services, and three pointpassd processes. It sends one request
// of each kind and prints the results. It exits 0 only if every answer was complete and
// every request with an idempotency key ran exactly once.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/google/uuid"

	"github.com/pointpass/pointpass/testbed/ask"
	"github.com/pointpass/pointpass/testbed/engine"
	"github.com/pointpass/pointpass/testbed/world"
)

// groupsPerDeployment is one group in each of the three halls.
const groupsPerDeployment = 3

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run() error {
	fmt.Println("Starting the simulated services and three pointpassd ...")
	w, closeWorld, err := world.Start(world.Options{
		Layouts: []world.Layout{world.NilePawn(12), world.Ostrava(12)},
		Daemons: 3,
		Timing:  engine.DefaultTiming(),
		Limits:  world.DefaultLimits(),
	})
	if err != nil {
		return err
	}
	defer closeWorld()
	for _, pool := range []string{"arbiter-lm", "route-llm"} {
		if err := w.WaitGroups(pool, groupsPerDeployment); err != nil {
			return err
		}
	}
	out, err := w.Client(w.Daemons[0], "groups")
	if err != nil {
		return err
	}
	fmt.Println(out)
	return sendAll(w)
}

// requests returns one request of each kind of both deployments.
func requests() []ask.Request {
	nile := world.Key("nile-1")
	ostrava := world.Key("ostrava-1")
	arabic := "قواعد الطاولة: لا يجوز تحريك الحجر بعد رمي النرد."
	return []ask.Request{
		{APIKey: nile, Service: "arbiter-lm", Kind: "question", Stream: true, SystemPrompt: arabic, Question: "هل يجوز تغيير النقلة بعد لمس الحجر؟", Tokens: 24},
		{APIKey: nile, Service: "arbiter-lm", Kind: "ruling", IdempotencyKey: newKey(), Stream: true, SystemPrompt: arabic, Question: "نزاع على الطاولة ٧", Tokens: 16},
		{APIKey: nile, Service: "table-app", Kind: "score", IdempotencyKey: newKey(), Path: "/scores", Question: `{"table": 7, "white": 3}`},
		{APIKey: ostrava, Service: "route-llm", Kind: "day-plan", SystemPrompt: "streets of Ostrava", Question: "plan of van 12", Tokens: 30},
		{APIKey: ostrava, Service: "route-llm", Kind: "detour", Stream: true, SystemPrompt: "streets of Ostrava", Question: "Nádražní is closed", Tokens: 12},
		{APIKey: ostrava, Service: "van-desk", Kind: "ping", Path: "/positions", Question: `{"van": 12, "at": [49.83, 18.28]}`},
		{APIKey: ostrava, Service: "van-desk", Kind: "confirmation", IdempotencyKey: newKey(), Path: "/doorsteps", Question: `{"van": 12, "door": 481}`},
	}
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func sendAll(w *world.World) error {
	client := ask.NewClient()
	failed := 0
	fmt.Printf("%-13s %-6s %-4s %-24s %-6s %s\n", "KIND", "STATUS", "NODE", "SERVED BY", "WHOLE", "RAN")
	for i, req := range requests() {
		req.Addr = w.Daemons[i%len(w.Daemons)].CallersAddr
		result := ask.Do(context.Background(), client, req)
		runs := "-"
		if req.IdempotencyKey != "" {
			runs = fmt.Sprint(w.Record.RunCount(req.IdempotencyKey))
		}
		fmt.Printf("%-13s %-6d %-4s %-24s %-6t %s %s\n", req.Kind, result.Status, result.Node, result.Group, result.Complete, runs, result.Detail)
		if !result.Complete || (req.IdempotencyKey != "" && runs != "1") {
			failed++
		}
	}
	failed += sendTwice(w, client)
	if failed > 0 {
		return fmt.Errorf("%d requests were not answered completely or did not run exactly once", failed)
	}
	fmt.Println("\nEvery answer was complete, and every request with an idempotency key ran once.")
	return nil
}

// sendTwice sends the same doorstep confirmation to two daemons, where the second must
// replay the answer of the first. It returns 1 if an answer is incomplete or the request
// did not run exactly once, and 0 otherwise.
func sendTwice(w *world.World, client interface{ CloseIdleConnections() }) int {
	fmt.Println("\nThe same confirmation, sent again to another daemon:")
	req := requests()[6]
	for _, d := range w.Daemons[:2] {
		req.Addr = d.CallersAddr
		result := ask.Do(context.Background(), ask.NewClient(), req)
		fmt.Printf("%-13s %-6d %-4s replayed=%t ran=%d\n", req.Kind, result.Status, result.Node, result.Replayed, w.Record.RunCount(req.IdempotencyKey))
		if !result.Complete || w.Record.RunCount(req.IdempotencyKey) != 1 {
			return 1
		}
	}
	return 0
}
