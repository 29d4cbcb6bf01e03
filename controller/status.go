package controller

import (
	"time"

	"lagoonstile"
	"lagoonstile/ejector"
)

// ServiceStatus is the state of one service as shown to operators.
type ServiceStatus struct {
	Service   lagoonstile.ServiceID `json:"service"`
	Rank      lagoonstile.Rank      `json:"rank"`
	InUse     int                   `json:"servers-in-use"`
	Floor     int                   `json:"floor"`
	Running   int                   `json:"requests-running"`
	Waiting   int                   `json:"requests-waiting"`
	SlowAfter time.Duration         `json:"slow-after"`
	Servers   []ServerStatus        `json:"servers"`
}

// ServerStatus is the state of one server as shown to operators. The counts are
// those of this instance since it started. Bad includes slow requests.
type ServerStatus struct {
	Server       lagoonstile.ServerID `json:"server"`
	State        ejector.State        `json:"state"`
	Weight       float64              `json:"weight"`
	Limit        int                  `json:"limit"`
	InFlight     int                  `json:"in-flight"`
	Good         uint64               `json:"good"`
	Bad          uint64               `json:"bad"`
	LinkFailures uint64               `json:"link-failures"`
	Shed         uint64               `json:"shed"`
}

// Services returns the state of every service, sorted by id.
func (s *State) Services() []ServiceStatus {
	out := make([]ServiceStatus, 0, len(s.order))
	for _, service := range s.order {
		out = append(out, service.status())
	}
	return out
}

func (s *service) status() ServiceStatus {
	status := ServiceStatus{
		Service:   s.rules.ID,
		Rank:      s.rules.Rank,
		Floor:     s.rules.MinServers(),
		SlowAfter: s.entry.SlowAfter,
	}
	status.Running, status.Waiting = s.gate.Load()
	for _, server := range s.order {
		if server.target.Weight > 0 {
			status.InUse++
		}
		totals := server.target.Live.Totals()
		status.Servers = append(status.Servers, ServerStatus{
			Server:       server.target.Server.ID,
			State:        server.state,
			Weight:       server.target.Weight,
			Limit:        server.target.Limit,
			InFlight:     server.target.Live.InFlight(),
			Good:         totals.Good,
			Bad:          totals.Bad + totals.Slow,
			LinkFailures: totals.LinkFailures,
			Shed:         totals.Shed,
		})
	}
	return status
}
