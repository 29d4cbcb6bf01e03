package main

import "time"

// Sizes of the fleet that a case starts.
const (
	nodeCount = 3
	// serversPerService is large enough that one server is no more than the share that a
	// disruption of servers may have.
	serversPerService = 7
	// workTime is how long a server works on a request.
	workTime = 100 * time.Millisecond
	// settleTime is how long after the nodes are ready all of them know all servers and
	// each other.
	settleTime = 2 * time.Second
)

// services are those of the configuration.
var services = []string{"listino", "ordini", "archivio-doc"}

// host is that of the configuration.
const host = "shop.example"

// configuration are the values in a configuration.
type configuration struct {
	Version string
	Tenants bool
}

// startFleet publishes a configuration and starts servers of all services and the nodes.
func (s *stage) startFleet(tenants bool) error {
	config, err := render("config.json", configuration{Version: "0000000c", Tenants: tenants})
	if err != nil {
		return err
	}
	s.store.put(s.names.PlanTopic, s.names.PlanKey, config)
	for _, service := range services {
		for n := range serversPerService {
			if err := s.startServer(service, n+1); err != nil {
				return err
			}
		}
	}
	for n := range nodeCount {
		if err := s.startNode(n); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	s.note("%d nodes run %q before %d servers of each service", nodeCount, s.nodes[0].command.Args, serversPerService)
	return nil
}
