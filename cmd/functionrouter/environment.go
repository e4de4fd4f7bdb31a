package main

import (
	"log/slog"
	"strings"
)

// The environment variables of the platform. The name and the address override those in the file.
const (
	configVariable = "EDGE_CONFIG" // path of the configuration file
	nameVariable   = "EDGE_NAME"
	listenVariable = "EDGE_LISTEN"
)

// The environment variables of the operators: each names the file of an extension, in place of the default one.
const (
	webhookVariable    = "FUNCTIONROUTER_WEBHOOK"
	flowExportVariable = "FUNCTIONROUTER_IPFIX"
)

const (
	// variablePrefix begins the names of the operators' variables.
	variablePrefix = "FUNCTIONROUTER_"

	// deprecatedVariablePrefix began them when the program had another name. Deployed environments may still set such
	// variables; without them their webhooks and flow records would end in silence. So they are read until no start
	// logs one any more.
	deprecatedVariablePrefix = "CRANKHOLD_"
)

// operatorVariable returns the value of an operators' variable. If it is not set, or empty, the variable's deprecated
// name counts, and a line in the log says so.
func operatorVariable(getenv func(string) string, variable string) string {
	if value := getenv(variable); value != "" {
		return value
	}
	deprecated := deprecatedVariablePrefix + strings.TrimPrefix(variable, variablePrefix)
	value := getenv(deprecated)
	if value != "" {
		slog.Warn("deprecated environment variable", "variable", deprecated, "use_instead", variable)
	}
	return value
}
