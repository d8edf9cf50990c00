#!/usr/bin/env bash
# Plays the case and writes record.txt in this folder; all processes that it starts are ended.
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. See claim.txt.
cd "$(dirname "$0")" && exec node case.js
