package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
)

// The names and messages of the users' pages, which no Go file outside the folder for the
// platform may spell out.
var (
	//go:embed names.json
	namesFile []byte
	// planText is the first configuration: one route of kind unsafe.
	//go:embed plan.json
	planText string
	// routeText is a further route of kind safe, with the comma before it.
	//go:embed route.json
	routeText string
)

// wire holds the names of headers, paths and topics.
var wire = readNames()

// names are the names of headers, paths and topics.
type names struct {
	SettingsVariable string `json:"settings_variable"`
	RequestID        string `json:"request_id"`
	Deadline         string `json:"deadline"`
	Target           string `json:"target"`
	NotRun           string `json:"not_run"`
	Signature        string `json:"signature"`
	ServerID         string `json:"server_id"`
	ReadyPath        string `json:"ready_path"`
	NewestPath       string `json:"newest_path"`
	ReadPath         string `json:"read_path"`
	AppendPath       string `json:"append_path"`
	PlanTopic        string `json:"plan_topic"`
	PlanKey          string `json:"plan_key"`
	ServerTopic      string `json:"server_topic"`
}

func readNames() names {
	var n names
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(fmt.Sprintf("names.json: %v", err)) // The file is part of the program.
	}
	return n
}
