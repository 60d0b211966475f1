#!/usr/bin/env bash
cd "$(dirname "$0")/../.."
exec review/case.sh LargeProgress review/2
