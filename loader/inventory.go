package loader

import (
	"fmt"
	"time"

	"lagoonstile"
)

// inventoryFile is the form of an inventory: which servers belong to which
// service in which failure domain.
type inventoryFile struct {
	Service []struct {
		Name   string `toml:"name"`
		Server []struct {
			ID            string `toml:"id"`
			Address       string `toml:"address"`
			FailureDomain string `toml:"failure-domain"`
			Slots         int    `toml:"slots"`
		} `toml:"server"`
	} `toml:"service"`
}

// rulesFile is the form of a rules file. A pointer is nil where the file says
// nothing and the default holds.
type rulesFile struct {
	Rule []ruleForm `toml:"rule"`
}

type ruleForm struct {
	Service               string   `toml:"service"`
	Rank                  string   `toml:"rank"`
	Idempotent            *bool    `toml:"idempotent"`
	Floor                 *float64 `toml:"floor"`
	FalseEjectionsPerWeek *float64 `toml:"false-ejections-per-week"`
	Deadline              *span    `toml:"deadline"`
	RetryShare            *float64 `toml:"retry-share"`
	ConnectionsPerServer  *int     `toml:"connections-per-server"`
	Route                 []struct {
		Host       string `toml:"host"`
		PathPrefix string `toml:"path-prefix"`
		Rank       string `toml:"rank"`
	} `toml:"route"`
}

// ReadConfiguration reads an inventory and its rules into a configuration of
// version 0. The error is Problems when both files could be read.
func ReadConfiguration(inventory, rules string) (lagoonstile.Configuration, error) {
	var servers inventoryFile
	var policy rulesFile
	inventoryDoc, err := read(inventory, &servers)
	if err != nil {
		return lagoonstile.Configuration{}, err
	}
	rulesDoc, err := read(rules, &policy)
	if err != nil {
		return lagoonstile.Configuration{}, err
	}
	cfg := lagoonstile.Configuration{Services: make(map[lagoonstile.ServiceID]*lagoonstile.Service)}
	if inventoryDoc.err() == nil && rulesDoc.err() == nil {
		inventoryDoc.addServers(&servers, cfg)
	}
	if inventoryDoc.err() == nil && rulesDoc.err() == nil {
		rulesDoc.addRules(&policy, cfg)
	}
	problems := append(inventoryDoc.problems, rulesDoc.problems...)
	if len(problems) == 0 {
		if err := cfg.Validate(); err != nil {
			problems = Problems{{File: rules, Line: 1, Text: err.Error()}}
		}
	}
	if len(problems) > 0 {
		return lagoonstile.Configuration{}, problems
	}
	return cfg, nil
}

func (d *document) addServers(form *inventoryFile, cfg lagoonstile.Configuration) {
	for i, group := range form.Service {
		key := fmt.Sprintf("service.%d", i)
		id := lagoonstile.ServiceID(group.Name)
		if id == "" {
			d.wrong(key+".name", "missing; expected the service's name")
			continue
		}
		if cfg.Services[id] != nil {
			d.wrong(key+".name", "%q stands twice", id)
			continue
		}
		service := &lagoonstile.Service{ID: id}
		for j, server := range group.Server {
			at := fmt.Sprintf("%s.server.%d", key, j)
			slots := server.Slots
			if slots == 0 {
				slots = lagoonstile.DefaultSlots
			}
			next := lagoonstile.Server{
				ID:            lagoonstile.ServerID(server.ID),
				Address:       server.Address,
				FailureDomain: lagoonstile.FailureDomain(server.FailureDomain),
				Slots:         slots,
			}
			if err := next.Validate(); err != nil {
				d.wrong(at, "%v", err)
			}
			service.Servers = append(service.Servers, next)
		}
		d.checkDistinct(key, service)
		service.Sort()
		cfg.Services[id] = service
	}
}

// checkDistinct tells of servers that share an id or an address, at the second
// one's own line.
func (d *document) checkDistinct(key string, service *lagoonstile.Service) {
	if len(service.Servers) == 0 {
		d.wrong(key, "service %s has no server", service.ID)
	}
	ids := make(map[lagoonstile.ServerID]bool)
	addresses := make(map[string]bool)
	for i, server := range service.Servers {
		at := fmt.Sprintf("%s.server.%d", key, i)
		if ids[server.ID] {
			d.wrong(at+".id", "%q stands twice", server.ID)
		}
		if addresses[server.Address] {
			d.wrong(at+".address", "%q stands twice", server.Address)
		}
		ids[server.ID] = true
		addresses[server.Address] = true
	}
}

func (d *document) addRules(form *rulesFile, cfg lagoonstile.Configuration) {
	ruled := make(map[lagoonstile.ServiceID]bool)
	for i := range form.Rule {
		rule := &form.Rule[i]
		key := fmt.Sprintf("rule.%d", i)
		id := lagoonstile.ServiceID(rule.Service)
		service := cfg.Services[id]
		switch {
		case service == nil:
			d.wrong(key+".service", "%q is not in the inventory", id)
		case ruled[id]:
			d.wrong(key+".service", "%q has a rule already", id)
		default:
			ruled[id] = true
			rule.apply(service)
			if err := service.Validate(); err != nil && len(service.Servers) > 0 {
				d.wrong(key, "%v", err)
			}
		}
	}
	for _, id := range cfg.IDs() {
		if !ruled[id] {
			d.wrong("", "service %s of the inventory has no rule", id)
		}
	}
}

// apply fills a service in, with defaults where the rule says nothing. A
// service is idempotent only where the rule says so.
func (r *ruleForm) apply(service *lagoonstile.Service) {
	service.Rank = lagoonstile.Rank(r.Rank)
	service.Idempotent = valueOr(r.Idempotent, false)
	service.Floor = valueOr(r.Floor, lagoonstile.DefaultFloor)
	service.FalseEjectionsPerWeek = valueOr(r.FalseEjectionsPerWeek, lagoonstile.DefaultFalseEjectionsPerWeek)
	service.Deadline = time.Duration(valueOr(r.Deadline, span(lagoonstile.DefaultDeadline)))
	service.RetryShare = valueOr(r.RetryShare, lagoonstile.DefaultRetryShare)
	service.ConnectionsPerServer = valueOr(r.ConnectionsPerServer, lagoonstile.DefaultConnectionsPerServer)
	for _, route := range r.Route {
		service.Routes = append(service.Routes, lagoonstile.Route{
			Host:       route.Host,
			PathPrefix: route.PathPrefix,
			Rank:       lagoonstile.Rank(route.Rank),
		})
	}
}

func valueOr[T any](value *T, otherwise T) T {
	if value == nil {
		return otherwise
	}
	return *value
}
