// Package deploy holds the documents that the push front serves by, for
// programs that start a courier away from this folder.
package deploy

import _ "embed"

// The push front's descriptions.
var (
	//go:embed openapi.json
	OpenAPI []byte
	//go:embed asyncapi.json
	AsyncAPI []byte
)
