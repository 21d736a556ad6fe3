// Package deploy embeds the API descriptions of the push front, for programs that start a courier
// outside this folder.
package deploy

import _ "embed"

// OpenAPI and AsyncAPI are the descriptions of the push front's API.
var (
	//go:embed openapi.json
	OpenAPI []byte
	//go:embed asyncapi.json
	AsyncAPI []byte
)
