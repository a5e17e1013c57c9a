package measure

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "topazfall/internal/control/controlpb"
	"topazfall/internal/lab/host"
	"topazfall/internal/lab/program"
	"topazfall/internal/lab/resolver"
)

const jobs = "_jobs._tcp.w.example"

// instance is a running agent and its control API.
type instance struct{ *program.Agent }

// startAgent starts the agent at path; its state is in a folder of its own below dir, named after it.
func startAgent(path, dir, name, discovery string) (*instance, error) {
	a, err := program.StartAgent(path, dir, name, discovery)
	return &instance{a}, err
}

// follow makes the agent ask a resolver for the name that all measurements use.
func (i *instance) follow(ctx context.Context, r *resolver.Resolver) error {
	now, err := i.API.Get(ctx, connect.NewRequest(&pb.GetRequest{}))
	if err != nil {
		return err
	}
	doc := &pb.Settings{Sources: &pb.Sources{
		Resolvers:     []string{r.Address()},
		Timeout:       durationpb.New(200 * time.Millisecond),
		LeastLifetime: durationpb.New(200 * time.Millisecond),
		Srv:           []*pb.Srv{{Name: jobs, Zone: "hall-a", Kind: "small"}},
	}}
	_, err = i.API.Apply(ctx, connect.NewRequest(&pb.ApplyRequest{From: now.Msg.Revision.GetNumber(), Settings: doc}))
	return err
}

// up counts the hosts that may get something new, and waits until there are so many.
func (i *instance) up(ctx context.Context, want int) error {
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		r, err := i.API.Hosts(ctx, connect.NewRequest(&pb.HostsRequest{}))
		if err != nil {
			return err
		}
		n := 0
		for _, h := range r.Msg.Hosts {
			if h.State == "up" {
				n++
			}
		}
		if n == want {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d hosts are up, not %d", n, want)
		}
	}
}

// targetOf is a stand-in host as DNS lists it.
func targetOf(h *host.Host) resolver.Target {
	_, port, _ := net.SplitHostPort(h.Addresses()[0])
	n, _ := strconv.Atoi(port)
	return resolver.Target{Host: h.Name(), Port: uint16(n), Weight: 100, A: []string{"127.0.0.1"}}
}
