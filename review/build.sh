#!/bin/sh
# Builds the stand-ins of the cases: plain Python, so that they are only compiled.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins
