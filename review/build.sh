#!/bin/sh
# Builds the stand-ins of the review. They are Python modules for the standard library, so this only compiles
# them, which shows errors before a case runs. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
