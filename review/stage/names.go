package main

import (
	"embed"
	"encoding/json"
	"fmt"
	"strings"
	"text/template"
)

// wireFiles holds the names and messages of the users' pages, which no Go file outside
// the folder for the platform may spell out.
//
//go:embed wire
var wireFiles embed.FS

// wireNames holds the names of headers, paths and topics.
type wireNames struct {
	SettingsVariable string `json:"settings_variable"`
	RequestID        string `json:"request_id"`
	Deadline         string `json:"deadline"`
	Target           string `json:"target"`
	NotRun           string `json:"not_run"`
	Signature        string `json:"signature"`
	Key              string `json:"key"`
	Account          string `json:"account"`
	ReadyPath        string `json:"ready_path"`
	NewestPath       string `json:"newest_path"`
	ReadPath         string `json:"read_path"`
	AppendPath       string `json:"append_path"`
	PlanTopic        string `json:"plan_topic"`
	PlanKey          string `json:"plan_key"`
	ServerTopic      string `json:"server_topic"`
	MemberTopic      string `json:"member_topic"`
}

// readNames returns the names in wire/names.json.
func readNames() (wireNames, error) {
	var n wireNames
	data, err := wireFiles.ReadFile("wire/names.json")
	if err == nil {
		err = json.Unmarshal(data, &n)
	}
	return n, err
}

// render fills in a message of the folder wire.
func render(file string, values any) ([]byte, error) {
	text, err := wireFiles.ReadFile("wire/" + file)
	if err != nil {
		return nil, err
	}
	parsed, err := template.New(file).Parse(string(text))
	if err != nil {
		return nil, err
	}
	var out strings.Builder
	if err := parsed.Execute(&out, values); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return []byte(out.String()), nil
}
