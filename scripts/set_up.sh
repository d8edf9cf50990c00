#!/usr/bin/env bash
# Installs the locked dependencies when they are missing or out of date, then builds.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -e node_modules/.package-lock.json ] || [ package-lock.json -nt node_modules/.package-lock.json ]; then
  npm ci --no-audit --no-fund
fi
npm run --silent build
