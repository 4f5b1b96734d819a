#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD"
python3 -m compileall -q wasabistream wasabistream_tools review/stand_ins \
    review/6 review/7 review/8 review/9 review/10
python3 -c 'import review.stand_ins.cases, review.stand_ins.clients, review.stand_ins.engines, review.stand_ins.proxies'
