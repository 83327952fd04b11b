#!/usr/bin/env bash
# TROUBLE=0 plays the same without the disruption.
set -u
cd "$(dirname "$0")"
exec python3 case.py
