#!/usr/bin/env bash
cd "$(dirname "$0")/../.."
exec review/case.sh UnstoppedTask review/4
