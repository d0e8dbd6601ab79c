#!/usr/bin/env bash
# Plants one small fault at a time into a scratch copy of the configuration,
# ledger and language code, and reports whether the tests catch it.
# Usage: configuration.sh [FOLDER]; FOLDER keeps the copy and its build.
# Exits with 1 if a fault is missed or can't be planted.
set -euo pipefail
cd "$(dirname "$0")/../.."
scratch=${1:-$(mktemp -d)}
tests=(configuration_tests ledger_tests language_tests)
jobs=${JOBS:-4}

mkdir -p "$scratch/source"
git ls-files -z | xargs -0 cp --parents -t "$scratch/source"
cache=()
if command -v ccache >/dev/null; then cache=(-DCMAKE_CXX_COMPILER_LAUNCHER=ccache); fi
cmake -S "$scratch/source" -B "$scratch/build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo "${cache[@]}" >/dev/null

build() { cmake --build "$scratch/build" -j "$jobs" --target "${tests[@]}" >"$scratch/build.log" 2>&1; }
# A fault may cause an infinite loop; the unchanged tests take a few seconds.
run() { (ulimit -c 0; timeout 120 "$scratch/build/bin/$1" >"$scratch/$1.log" 2>&1); }

build || { echo "the unchanged copy doesn't build"; tail -20 "$scratch/build.log"; exit 1; }
for test in "${tests[@]}"; do
  run "$test" || { echo "the unchanged copy fails $test"; exit 1; }
done

caught=0 missed=0 broken=0
# mutate NUMBER COMMENT FILE OLD NEW: replaces the only occurrence of OLD.
mutate() {
  local number=$1 comment=$2 file=$3 original="$scratch/original"
  cp "$scratch/source/$file" "$original"
  if ! python3 - "$scratch/source/$file" "$4" "$5" <<'PYTHON'
import sys
path, old, new = sys.argv[1:]
text = open(path).read()
if text.count(old) != 1:
    sys.exit(f"{text.count(old)} occurrences of: {old}")
open(path, "w").write(text.replace(old, new))
PYTHON
  then
    echo "$number BROKEN  $comment"
    broken=$((broken + 1))
    return
  fi
  local by=""
  if build; then
    for test in "${tests[@]}"; do
      run "$test" || by="$by $test"
    done
    if [ -n "$by" ]; then
      echo "$number caught  $comment (by$by)"
      caught=$((caught + 1))
    else
      echo "$number MISSED  $comment"
      missed=$((missed + 1))
    fi
  else
    echo "$number BROKEN  $comment (doesn't build)"
    broken=$((broken + 1))
  fi
  cp "$original" "$scratch/source/$file"
}

c=servers/configuration
mutate 1 "a change without all acknowledgements is activated at the timeout" $c/change_coordinator.cc \
  'if (missing.empty()) {' 'if (missing.empty() || now >= attempt_->deadline) {'
mutate 2 "a follower activates whatever it has staged" $c/configuration_follower.cc \
  'staged_ && staged_->index == activate.stage_index &&
                         staged_hash_ == activate.hash;' 'staged_.has_value();'
mutate 3 "an answer to a former run of an instance renews a lease" $c/configuration_follower.cc \
  'if (activate.follow_incarnation != options_.incarnation) return;' ''
mutate 4 "a repeated change id is applied again" $c/replicated_state.cc \
  'if (FindRecord(change.id) != nullptr) {' 'if (false) {'
mutate 5 "a change that expects an older revision is applied" $c/replicated_state.cc \
  'if (expected && *expected != active.revision) {' 'if (expected && *expected > active.revision) {'
mutate 6 "a new leader confirms before the leases of the former one end" $c/change_coordinator.cc \
  'if (now < leading_since_ + longest) return;' ''
mutate 7 "confirmation ignores leases of instances that membership lost" $c/change_coordinator.cc \
  'if (progress.lease_until > now) required.insert(instance);' ''
mutate 8 "confirmation ignores leases in excluded data centres" $c/change_coordinator.cc \
  'if (progress.lease_until <= now || runs_it(progress)) continue;' 'continue;'
mutate 9 "a confirmation covers later revisions as well" $c/replicated_state.cc \
  'if (record.answer.revision > entry.revision) continue;' ''
mutate 10 "a late activation activates another staged change" $c/replicated_state.cc \
  'if (!staged_ || staged_->index != entry.stage_index) return {};
  CheckInvariant' 'if (!staged_) return {};
  CheckInvariant'
mutate 11 "a lease counts from the arrival of its answer" $c/configuration_follower.cc \
  'sent->sent_at + activate.lease' 'sent_.back().sent_at + activate.lease'
mutate 12 "a snapshot loses the staged change" $c/replicated_state.cc \
  'if (staged_) {
    message.mutable_staged()' 'if (false) {
    message.mutable_staged()'
mutate 13 "a change may add two voters" $c/change.cc \
  'voter_changed_ = true;' ''
mutate 14 "a claim of a dead instance holds its key" servers/ledger/ledger.cc \
  'if (IsLost(claim)) return ClaimRefused{LedgerRefusal::kReleased};' ''
mutate 15 "a death releases the key" servers/ledger/ledger.cc \
  'if (IsLost(record.claim)) SetState(&slot, RecordState::kUnknown);' \
  'if (IsLost(record.claim)) SetState(&slot, RecordState::kNotRun);'
mutate 16 "a result of another request ends the claim" servers/ledger/ledger.cc \
  'if (record.claim.request != result.request) {' 'if (false) {'
mutate 17 "a release that overtakes its claim is dropped" servers/ledger/ledger.cc \
  'if (result.state != RecordState::kNotRun) return;' 'return;'
mutate 18 "or binds like and" servers/language/statement.cc \
  'struct Action<Or> {
  static void apply0(ParserState& state) { state.query.any_of.emplace_back(); }' 'struct Action<Or> {
  static void apply0(ParserState&) {}'

echo "$caught caught, $missed missed, $broken not planted"
[ -n "${1:-}" ] || rm -rf "$scratch"
[ $((missed + broken)) -eq 0 ]
