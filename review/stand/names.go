package main

import (
	_ "embed"
	"encoding/json"
)

// wireNames holds the names that the users' platform gives to headers, paths, topics and
// the variable of the settings file. They are data, because the project keeps these
// names out of all code but that of its own platform package.
type wireNames struct {
	SettingsVariable string `json:"settings_variable"`
	TopicConfig      string `json:"topic_config"`
	TopicServers     string `json:"topic_servers"`
	TopicStatus      string `json:"topic_status"`
	PathAppend       string `json:"path_append"`
	PathRead         string `json:"path_read"`
	PathNewest       string `json:"path_newest"`
	PathReady        string `json:"path_ready"`
	PathResolve      string `json:"path_resolve"`
	RoutePrefix      string `json:"route_prefix"`
	RequestID        string `json:"request_id"`
	Deadline         string `json:"deadline"`
	Target           string `json:"target"`
	Instance         string `json:"instance"`
	NotRun           string `json:"not_run"`
	Signature        string `json:"signature"`
}

//go:embed names.json
var namesFile []byte

var names = readNames()

func readNames() wireNames {
	var n wireNames
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(err)
	}
	return n
}
