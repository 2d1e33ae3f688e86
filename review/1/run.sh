#!/bin/sh
# TROUBLE=0 leaves out the disruption; the stand-ins read it.
TROUBLE=${TROUBLE:-1}
export TROUBLE
exec "$(dirname "$0")/../run_case.sh" crowd 1
