#!/usr/bin/env bash
# Regenerates the committed codec of the internal protocol from the .proto file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=src/protocol/generated
mkdir -p "$out"
npx pbjs -t static-module -w es6 --force-number --no-verify --no-convert --no-service --no-delimited --no-beautify \
  -o "$out/messages.js" src/protocol/messages.proto
npx pbts -o "$out/messages.d.ts" "$out/messages.js"
sed -i 's#import \* as \$protobuf from "protobufjs/minimal"#import $protobuf from "protobufjs/minimal.js"#;s#"protobufjs/minimal"#"protobufjs/minimal.js"#' "$out/messages.js"
# All 64-bit integers of the protocol fit into a number; without this they would be Long objects.
sed -i '/^import .*protobufjs\/minimal.js/a $protobuf.util.Long = undefined;\n$protobuf.configure();' "$out/messages.js"
