#!/usr/bin/env bash
cd "$(dirname "$0")/../.."
exec review/case.sh OvertakenListing review/3
