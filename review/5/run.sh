#!/usr/bin/env bash
# Runs the case. With TROUBLE=0 it leaves the disruption out, and must pass.
folder=$(dirname "$0")
exec "$folder/../run-case.sh" "$folder" "${TROUBLE:-1}"
