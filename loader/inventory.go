package loader

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"lagoonstile"
)

// inventoryFile is the content of an inventory file: the servers of each service
// and the failure domain of each server.
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

// rulesFile is the content of a rules file.
type rulesFile struct {
	Rule    []ruleEntry    `toml:"rule"`
	Account []accountEntry `toml:"account"`
}

// accountEntry describes one client account.
type accountEntry struct {
	Name string `toml:"name"`
	// KeyDigests holds the SHA-256 digests of the account's keys. The file does not have
	// the keys, since the log would keep them.
	KeyDigests []lagoonstile.KeyDigest `toml:"key-digests"`
	Rank       string                  `toml:"rank"`
	// Rate is in requests per second.
	Rate  float64 `toml:"rate"`
	Burst float64 `toml:"burst"`
}

// ruleEntry holds the rules of one service. A pointer is nil if the file does
// not set the key; the default then applies.
type ruleEntry struct {
	Service               string    `toml:"service"`
	Rank                  string    `toml:"rank"`
	Idempotent            *bool     `toml:"idempotent"`
	Public                bool      `toml:"public"`
	Floor                 *float64  `toml:"floor"`
	FalseEjectionsPerWeek *float64  `toml:"false-ejections-per-week"`
	Deadline              *duration `toml:"deadline"`
	RetryShare            *float64  `toml:"retry-share"`
	ConnectionsPerServer  *int      `toml:"connections-per-server"`
	Route                 []struct {
		Host       string `toml:"host"`
		PathPrefix string `toml:"path-prefix"`
		Rank       string `toml:"rank"`
	} `toml:"route"`
}

// ReadConfiguration reads an inventory file and a rules file into a
// configuration with version 0. If both files can be read but have problems,
// the error is of type Problems.
func ReadConfiguration(inventoryPath, rulesPath string) (lagoonstile.Configuration, error) {
	var inventory inventoryFile
	var rules rulesFile
	inventoryDoc, err := read(inventoryPath, &inventory)
	if err != nil {
		return lagoonstile.Configuration{}, err
	}
	rulesDoc, err := read(rulesPath, &rules)
	if err != nil {
		return lagoonstile.Configuration{}, err
	}
	cfg := lagoonstile.Configuration{Services: make(map[lagoonstile.ServiceID]*lagoonstile.Service)}
	if inventoryDoc.err() == nil && rulesDoc.err() == nil {
		inventoryDoc.addServers(&inventory, cfg)
	}
	if inventoryDoc.err() == nil && rulesDoc.err() == nil {
		rulesDoc.addRules(&rules, cfg)
		cfg.Accounts = rulesDoc.accounts(&rules)
	}
	problems := append(inventoryDoc.problems, rulesDoc.problems...)
	if len(problems) == 0 {
		if err := cfg.Validate(); err != nil {
			problems = Problems{{File: rulesPath, Line: 1, Text: err.Error()}}
		}
	}
	if len(problems) > 0 {
		return lagoonstile.Configuration{}, problems
	}
	return cfg, nil
}

// addServers adds the services of an inventory and their servers to cfg, without
// rules. It adds a problem for each service or server that is invalid or
// duplicate.
func (d *document) addServers(inventory *inventoryFile, cfg lagoonstile.Configuration) {
	for i, serviceEntry := range inventory.Service {
		key := fmt.Sprintf("service.%d", i)
		id := lagoonstile.ServiceID(serviceEntry.Name)
		if id == "" {
			d.errorf(key+".name", "missing; expected the service's name")
			continue
		}
		if cfg.Services[id] != nil {
			d.errorf(key+".name", "duplicate name %q", id)
			continue
		}
		service := &lagoonstile.Service{ID: id}
		for j, serverEntry := range serviceEntry.Server {
			serverKey := fmt.Sprintf("%s.server.%d", key, j)
			slots := serverEntry.Slots
			if slots == 0 {
				slots = lagoonstile.DefaultSlots
			}
			server := lagoonstile.Server{
				ID:            lagoonstile.ServerID(serverEntry.ID),
				Address:       serverEntry.Address,
				FailureDomain: lagoonstile.FailureDomain(serverEntry.FailureDomain),
				Slots:         slots,
			}
			if err := server.Validate(); err != nil {
				d.errorf(serverKey, "%v", err)
			}
			service.Servers = append(service.Servers, server)
		}
		d.checkServers(key, service)
		service.Sort()
		cfg.Services[id] = service
	}
}

// checkServers adds a problem if the service has no servers, and one for each
// server with the id or the address of an earlier server. The servers must be in
// the order of the file, because the line of a problem is found by the server's
// index.
func (d *document) checkServers(key string, service *lagoonstile.Service) {
	if len(service.Servers) == 0 {
		d.errorf(key, "service %s has no server", service.ID)
	}
	ids := make(map[lagoonstile.ServerID]bool)
	addresses := make(map[string]bool)
	for i, server := range service.Servers {
		serverKey := fmt.Sprintf("%s.server.%d", key, i)
		if ids[server.ID] {
			d.errorf(serverKey+".id", "duplicate id %q", server.ID)
		}
		if addresses[server.Address] {
			d.errorf(serverKey+".address", "duplicate address %q", server.Address)
		}
		ids[server.ID] = true
		addresses[server.Address] = true
	}
}

// addRules applies the rules to the services of cfg. It adds a problem for each
// invalid rule, for each rule whose service is unknown or already has a rule,
// and for each service without a rule.
func (d *document) addRules(rules *rulesFile, cfg lagoonstile.Configuration) {
	hasRule := make(map[lagoonstile.ServiceID]bool)
	for i := range rules.Rule {
		rule := &rules.Rule[i]
		key := fmt.Sprintf("rule.%d", i)
		id := lagoonstile.ServiceID(rule.Service)
		service := cfg.Services[id]
		switch {
		case service == nil:
			d.errorf(key+".service", "%q is not in the inventory", id)
		case hasRule[id]:
			d.errorf(key+".service", "%q already has a rule", id)
		default:
			hasRule[id] = true
			rule.apply(service)
			if err := service.Validate(); err != nil && len(service.Servers) > 0 {
				d.errorf(key, "%v", err)
			}
		}
	}
	for _, id := range cfg.IDs() {
		if !hasRule[id] {
			d.errorf("", "service %s of the inventory has no rule", id)
		}
	}
}

// accounts returns the client accounts of a rules file, sorted by name, or nil if it
// has none. It adds a problem for each account that is invalid.
func (d *document) accounts(rules *rulesFile) []lagoonstile.Account {
	var accounts []lagoonstile.Account
	for i := range rules.Account {
		entry := &rules.Account[i]
		account := lagoonstile.Account{
			ID:    lagoonstile.CallerID(entry.Name),
			Keys:  entry.KeyDigests,
			Quota: lagoonstile.Quota{Rate: entry.Rate, Burst: entry.Burst},
		}
		if rank := slices.Index(lagoonstile.Ranks(), lagoonstile.Rank(entry.Rank)); rank >= 0 {
			account.Priority = &rank
		} else if entry.Rank != "" {
			d.errorf(fmt.Sprintf("account.%d.rank", i), "%q; expected one of %v", entry.Rank, lagoonstile.Ranks())
		}
		accounts = append(accounts, account)
		if err := lagoonstile.ValidateAccounts(accounts); err != nil {
			d.errorf(fmt.Sprintf("account.%d", i), "%v", err)
			accounts = accounts[:len(accounts)-1]
		}
	}
	slices.SortFunc(accounts, func(a, b lagoonstile.Account) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return accounts
}

// apply sets the rules of a service. Keys that the file does not set get their
// defaults; a service is not idempotent by default.
func (r *ruleEntry) apply(service *lagoonstile.Service) {
	service.Rank = lagoonstile.Rank(r.Rank)
	service.Idempotent = valueOr(r.Idempotent, false)
	service.Public = r.Public
	service.Floor = valueOr(r.Floor, lagoonstile.DefaultFloor)
	service.FalseEjectionsPerWeek = valueOr(r.FalseEjectionsPerWeek, lagoonstile.DefaultFalseEjectionsPerWeek)
	service.Deadline = time.Duration(valueOr(r.Deadline, duration(lagoonstile.DefaultDeadline)))
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

func valueOr[T any](value *T, fallback T) T {
	if value == nil {
		return fallback
	}
	return *value
}
