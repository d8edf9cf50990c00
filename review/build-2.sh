#!/bin/bash
# Builds the stand-ins of cases 4 to 6: they are plain JavaScript in `bed`, so they are only checked.
cd "$(dirname "$0")" || exit 1
for file in bed/*.js 4/case.js 5/case.js 6/case.js; do
  node --check "$file" || exit 1
done
