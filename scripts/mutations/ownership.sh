#!/usr/bin/env bash
# Plants faults in membership and ownership one at a time, in a scratch copy of
# the sources, and reports whether the tests catch each:
#   scripts/mutations/ownership.sh [NUMBER...]
# Exit code 1 if a fault is missed, 2 if one no longer applies.
set -euo pipefail
cd "$(dirname "$0")/../.."

# file | comment | original text | text with the fault
mutations=(
  "servers/ownership/lease_votes.cc|A voter gives its vote away while an earlier promise runs|if (now < vote->until) return false;|"
  "servers/ownership/lease_votes.cc|A voter that forgot its promises at a restart votes at once|// promised before this instance started.
    return claim.fenced \|\| claim.holding \|\| Settled(now);|return true;"
  "servers/ownership/lease_votes.cc|A delayed release ends a later promise|vote.holder == holder && vote.epoch == epoch|vote.holder == holder"
  "servers/ownership/lease_votes.cc|Votes ignore that a higher epoch was seen|if (claim.epoch < vote->epoch) return false;|"
  "servers/ownership/ownership.cc|Half of the votes count as a majority|pool.votes.size() * 2 <= pool.round_voters.size()|pool.votes.size() * 2 < pool.round_voters.size()"
  "servers/ownership/ownership.cc|The lease counts from the answer, not from the request|pool.round_sent + counted|now + counted"
  "servers/ownership/ownership.cc|A successor that gives up frees voters while the owner's lease runs|if (role == Role::kReceiving) return;|"
  "servers/ownership/ownership.cc|A lease that ran out between two ticks is still used|if (now >= pool.valid_until) return std::nullopt;|"
  "servers/ownership/ownership.cc|Voters with another electorate are counted|claim.fenced \|\| same_electorate|true"
  "servers/ownership/ownership.cc|A successor doesn't wait for the owner to stop|pool.predecessor_gone = now + options_.lease;|pool.predecessor_gone = now;"
  "servers/ownership/ownership.cc|A new owner reuses the epoch of the old one|Count(std::max(pool.highest, pool.epoch)) + 1|Count(std::max(pool.highest, pool.epoch))"
  "servers/ownership/ownership.cc|Flapping doesn't lengthen the wait|wait = std::min(2 * wait, options_.stable_maximum);|"
  "servers/ownership/electorate.cc|A side of a partition drops the members it can't see|seen_.count(id) > 0 && present.count(id) == 0|live_.count(id) == 0"
  "servers/membership/membership.cc|A process concludes from its own pause that others are silent|probes_.clear();
  for (auto& [id, start] : suspicions_) start += gap;|"
  "servers/membership/membership.cc|A refutation doesn't raise the incarnation|self.incarnation = Incarnation(above + 1);|self.incarnation = Incarnation(above);"
  "servers/membership/membership.cc|Records of an earlier incarnation replace later ones|if (incoming.incarnation < known->incarnation) return;|"
  "servers/membership/membership.cc|Repeated messages are accepted|behind >= kReplayWindow \|\| (peer.window & bit) != 0|behind >= kReplayWindow"
  "servers/membership/membership.cc|The byte budget isn't enforced|if (bytes > options_.message_bytes \|\||if (false \&\&"
  "servers/membership/membership.cc|Dead members are never tried again|if (member.state != MemberState::kDead) continue;|continue;"
  "servers/membership/membership.h|Only the shuffled member is probed|std::size_t ring_probes = 2;|std::size_t ring_probes = 0;"
)

scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
git ls-files -z | xargs -0 cp --parents -t "$scratch"
launcher=()
command -v ccache >/dev/null && launcher=(-DCMAKE_CXX_COMPILER_LAUNCHER=ccache)
cmake -S "$scratch" -B "$scratch/build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo "${launcher[@]}" >/dev/null

build() { cmake --build "$scratch/build" -j 4 --target ownership_tests membership_tests >"$scratch/log" 2>&1; }
# A fault may make a test hang.
pass() {
  timeout 120 "$scratch/build/bin/ownership_tests" >/dev/null 2>&1 &&
    timeout 120 "$scratch/build/bin/membership_tests" >/dev/null 2>&1
}

build && pass || { echo "the tests fail without any fault"; exit 2; }
missed=0
for i in "${!mutations[@]}"; do
  number=$((i + 1))
  if [ $# -gt 0 ] && [[ " $* " != *" $number "* ]]; then continue; fi
  status=0
  python3 - "$scratch" "${mutations[$i]}" <<'PYTHON' || status=$?
import re, sys
folder, mutation = sys.argv[1:3]
file, comment, old, new = [part.replace("\\|", "|").replace("\\&", "&") for part in re.split(r"(?<!\\)\|", mutation)]
path = folder + "/" + file
text = open(path).read()
if text.count(old) != 1:
    sys.exit(f"the original text occurs {text.count(old)} times in {file}: {old}")
open(path + ".original", "w").write(text)
open(path, "w").write(text.replace(old, new))
PYTHON
  [ "$status" -eq 0 ] || exit 2
  file="$scratch/${mutations[$i]%%|*}"
  comment=$(cut -d'|' -f2 <<<"${mutations[$i]%%$'\n'*}")
  if ! build; then
    echo "$number NOT BUILT  $comment"
    missed=1
  elif pass; then
    echo "$number MISSED     $comment"
    missed=1
  else
    echo "$number caught     $comment"
  fi
  mv "$file.original" "$file"
  touch "$file"
done
exit "$missed"
