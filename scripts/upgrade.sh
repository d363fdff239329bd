#!/usr/bin/env bash
# Builds an earlier commit in a worktree of its own, and rolls processes of that build and of this one
# forwards, back, and halfway with a halt, under changes of the configuration, requests, kills and pauses.
#
#   scripts/upgrade.sh COMMIT [SEED [PLAN...]]     the plans are forward, halfway and back
set -euo pipefail
cd "$(dirname "$0")/.."
commit=$(git rev-parse --verify "${1:?name a commit}^{commit}")
seed=${2:-1}
shift $(($# < 2 ? $# : 2))
old=$(mktemp -d)
trap 'git worktree remove --force "$old/tree" || true; rm -rf "$old"' EXIT
git worktree add --detach "$old/tree" "$commit" >/dev/null 2>&1
(cd "$old/tree" && go build -ldflags=-linkmode=external -o "$old/" ./cmd/balsamd)
status=0
[ $# -gt 0 ] || set -- forward halfway back
for plan in "$@"; do
  BALSAMLB_OLD=$old/balsamd BALSAMLB_SEED=$seed BALSAMLB_ROLL=$plan \
    go test -count=1 -v -run 'TestUpgradeHaltAndRollback$' -timeout 10m ./internal/lab || status=1
done
exit $status
