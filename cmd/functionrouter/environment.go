package main

import (
	"log/slog"
	"strings"
)

// Environment variables that the platform sets. EDGE_NAME and EDGE_LISTEN override the name and the listen address in
// the configuration file.
const (
	configVariable = "EDGE_CONFIG" // path of the configuration file
	nameVariable   = "EDGE_NAME"
	listenVariable = "EDGE_LISTEN"
)

// Environment variables for operators. Each sets the path of an extension's configuration file, in place of the default
// path.
const (
	webhookVariable    = "FUNCTIONROUTER_WEBHOOK"
	flowExportVariable = "FUNCTIONROUTER_IPFIX"
)

const (
	// variablePrefix is the prefix of the operators' variables.
	variablePrefix = "FUNCTIONROUTER_"

	// deprecatedVariablePrefix is the prefix that the operators' variables had under the program's former name.
	// Deployed environments may still set variables with this prefix; if the router ignored them, webhooks and flow
	// records would stop there without an error. The prefix is supported until no router logs a deprecated variable at
	// its start.
	deprecatedVariablePrefix = "CRANKHOLD_"
)

// operatorVariable returns the value of an operator's variable. If the variable is unset or empty, it returns the value
// of the variable's deprecated name, and logs a warning if that value is not empty.
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
