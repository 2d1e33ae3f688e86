#!/bin/sh
exec "$(dirname "$0")/../run_case.sh" crowd 1
