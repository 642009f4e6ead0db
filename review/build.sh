#!/usr/bin/env bash
# The stand-ins are plain modules and need no build; checks their syntax.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.mjs [1-9]/*.mjs trials/*/*.mjs; do node --check "$file"; done
