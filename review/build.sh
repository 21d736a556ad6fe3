#!/bin/sh
# Builds every program that a case starts besides the deploy file's build: the driver with its
# stand-ins, and the project's example plug-in as a WebAssembly module.
set -eu
cd "$(dirname "$0")"
mkdir -p bin/hints
(cd standin && CGO_ENABLED=0 go build -o ../bin/rig .)
(cd .. && GOOS=wasip1 GOARCH=wasm CGO_ENABLED=0 go build -buildmode=c-shared -o review/bin/hints/hints.wasm ./example/plugins-wasm/hints)
