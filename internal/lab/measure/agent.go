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

// serviceName is the name whose SRV records list the hosts in every measurement.
const serviceName = "_jobs._tcp.w.example"

// agentInstance is a running agent and its control API.
type agentInstance struct{ *program.Agent }

// startAgent starts the agent at path. Its state is kept in the folder dir/name.
func startAgent(path, dir, name, discovery string) (*agentInstance, error) {
	a, err := program.StartAgent(path, dir, name, discovery)
	return &agentInstance{a}, err
}

// followResolver applies settings that make the agent look serviceName up at a resolver.
func (i *agentInstance) followResolver(ctx context.Context, r *resolver.Resolver) error {
	current, err := i.API.Get(ctx, connect.NewRequest(&pb.GetRequest{}))
	if err != nil {
		return err
	}
	settings := &pb.Settings{Sources: &pb.Sources{
		Resolvers:     []string{r.Address()},
		Timeout:       durationpb.New(200 * time.Millisecond),
		LeastLifetime: durationpb.New(200 * time.Millisecond),
		Srv:           []*pb.Srv{{Name: serviceName, Zone: "hall-a", Kind: "small"}},
	}}
	_, err = i.API.Apply(ctx, connect.NewRequest(&pb.ApplyRequest{
		From: current.Msg.Revision.GetNumber(), Settings: settings}))
	return err
}

// awaitHosts waits until the agent has exactly want hosts in the state "up", which may get new work.
func (i *agentInstance) awaitHosts(ctx context.Context, want int) error {
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
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
		if time.Now().After(deadline) {
			return fmt.Errorf("%d hosts are up, not %d", n, want)
		}
	}
}

// newTarget returns the DNS records of a stand-in host.
func newTarget(h *host.Host) resolver.Target {
	_, port, _ := net.SplitHostPort(h.Addresses()[0])
	n, _ := strconv.Atoi(port)
	return resolver.Target{Host: h.Name(), Port: uint16(n), Weight: 100, A: []string{"127.0.0.1"}}
}
