#!/usr/bin/env bash
# Plants faults in a scratch copy of the consensus sources, one at a time, and
# reports whether the tests detect each: consensus.sh [NAME...]. Exits with 1 if
# one is not detected. Takes some minutes; JOBS limits the compiler processes.
set -euo pipefail
cd "$(dirname "$0")/../.."
scratch=$(mktemp -d)
git ls-files -z --cached --others --exclude-standard | xargs -0 cp --parents -t "$scratch"
# Unchanged copy to restore files from, so that edits to the repository during the
# run have no effect.
cp -r "$scratch" "$scratch.originals"
trap 'rm -rf "$scratch" "$scratch.originals"' EXIT
jobs=${JOBS:-4}
seeds=${CASSIAUSHER_CONSENSUS_SEEDS:-4000}
tests=(consensus_tests file_log_tests consensus_random_tests)
chosen=("$@")
caught=0
missed=()

build() {
  cmake --build "$scratch/build" -j "$jobs" --target "${tests[@]}" >"$scratch/build.log" 2>&1
}

run_tests() {
  local test
  for test in "${tests[@]}"; do
    if ! CASSIAUSHER_CONSENSUS_SEEDS=$seeds timeout 300 "$scratch/build/bin/$test" >"$scratch/run.log" 2>&1; then
      printf '%s' "$test"
      return 1
    fi
  done
}

# mutate NAME FILE OLD NEW: OLD must occur exactly once in FILE.
mutate() {
  local name=$1 file=$2
  if [ ${#chosen[@]} -gt 0 ] && [[ ! " ${chosen[*]} " == *" $name "* ]]; then return; fi
  OLD=$3 NEW=$4 python3 - "$scratch/$file" <<'PYTHON'
import os, sys
path = sys.argv[1]
text = open(path).read()
old = os.environ["OLD"]
if text.count(old) != 1:
    sys.exit(f"{path}: the text to replace occurs {text.count(old)} times: {old}")
open(path, "w").write(text.replace(old, os.environ["NEW"]))
PYTHON
  local test
  if ! build; then
    echo "$name: does not compile"
    tail -5 "$scratch/build.log"
    missed+=("$name")
  elif test=$(run_tests); then
    echo "$name: MISSED"
    missed+=("$name")
  else
    echo "$name: caught by $test: $(grep -m1 -E '^seed|invariant|Failure in|error: ' "$scratch/run.log" || echo 'timeout or crash')"
    caught=$((caught + 1))
  fi
  cp "$scratch.originals/$file" "$scratch/$file"
}

cmake -S "$scratch" -B "$scratch/build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
  $(command -v ccache >/dev/null && echo -DCMAKE_CXX_COMPILER_LAUNCHER=ccache) >/dev/null
build
if ! test=$(run_tests); then
  echo "the tests fail without a planted fault: $test"
  exit 1
fi

election=servers/consensus/raft_election.cc
replication=servers/consensus/raft_replication.cc
raft=servers/consensus/raft.cc
bootstrap=servers/consensus/raft_bootstrap.cc
membership=servers/consensus/raft_membership.cc
file_log=modules/file_log/file_log.cc

# A replica votes for two candidates in one term.
mutate vote_twice $election \
  'hard_state_.vote.empty() || hard_state_.vote == from;' 'true;'
# A vote goes to a candidate whose log is behind.
mutate vote_for_shorter_log $election \
  'role_ != RaftRole::kLeader &&
                       IsUpToDate(request.last_index(), request.last_term());' \
  'role_ != RaftRole::kLeader;'
# A candidate counts its own vote before it is durable.
mutate vote_counted_before_durable $election \
  '  votes_.clear();
  for (const ReplicaId& voter : configuration().voters) {' \
  '  votes_ = {{replica_, true}};
  for (const ReplicaId& voter : configuration().voters) {'
# A vote is sent before it is synced to disk.
mutate vote_not_synced $raft 'hard_state_.vote != old.vote ||' ''
# An entry of an older term is committed by counting replicas.
mutate commit_older_term $replication \
  '  if (log_.TermAt(candidate) != term()) return;
' ''
# An append is accepted although the previous entry conflicts.
mutate wrong_previous_term $replication \
  'log_.TermAt(previous) == append.previous_term();' \
  'previous <= log_.LastIndex();'
# A repeated append removes the entries after it.
mutate truncate_without_conflict $replication \
  '    if (log_.TermAt(entry.index) == entry.term) continue;
' ''
# An append is acknowledged before it is durable.
mutate acknowledge_before_sync $replication \
  'reply->set_match_index(std::max(last_index, hard_state_.commit));
  reply->set_round(append.round());
  output_.messages_after_sync.push_back' \
  'reply->set_match_index(std::max(last_index, hard_state_.commit));
  reply->set_round(append.round());
  output_.messages.push_back'
# The leader counts its own entries before they are durable.
mutate leader_counts_unsynced $raft \
  'if (member == replica_) return durable_index_;' \
  'if (member == replica_) return log_.LastIndex();'
# A follower commits entries beyond those that the append verified.
mutate commit_unchecked $replication \
  'SetCommit(std::min(append.commit(), last_index));' \
  'SetCommit(std::min(append.commit(), log_.LastIndex()));'
# Half of the voters count as a quorum.
mutate half_is_quorum servers/consensus/raft_types.h \
  'voters.size() / 2 + 1' '(voters.size() + 1) / 2'
# A read is confirmed by a heartbeat round that began before it.
mutate read_by_old_round $replication \
  'hard_state_.commit, round_ + 1}' 'hard_state_.commit, round_}'
# A new leader answers reads before it has committed an entry of its own term.
mutate read_before_own_commit $replication \
  'role_ != RaftRole::kLeader || !CommittedInOwnTerm()' \
  'role_ != RaftRole::kLeader'
# A leader without contact to a quorum doesn't step down.
mutate no_quorum_check $election \
  'return active >= configuration().Quorum();' 'return true;'
# Pre-votes are granted despite recent contact with the leader.
mutate no_leader_lease $election \
  'return now_ - *last_leader_contact_ < options_.election_timeout_min;' \
  'return false;'
# A membership change starts before the previous one is committed.
mutate overlapping_member_changes $membership \
  'if (!configuration_committed() || !CommittedInOwnTerm()) {
    return Refuse' \
  'if (false) {
    return Refuse'
# An instance with a new disk keeps the identity of the old one.
mutate storage_number_ignored $raft \
  'replica_ = {options_.self, hard_state_.storage};' \
  'replica_ = {options_.self, 1};'
# A new instance bootstraps a log although other instances have one.
mutate founding_beside_a_log $bootstrap \
  'if (reply.configured()) {' 'if (false) {'
# A snapshot that conflicts with the log doesn't replace the log on disk.
mutate snapshot_keeps_conflicting_log $replication \
  '    output_.snapshot_replaces_log = true;
' ''
# An entry that conflicts with the last compacted one is not rejected.
mutate entry_at_base_unchecked $replication \
  'entry.index < log_.base_index()' 'entry.index <= log_.base_index()'
# A batch written before a truncation counts as durable after it.
mutate durable_after_truncation $raft \
  'if (done.id >= first_valid_batch_) {
      CheckInvariant' \
  'if (done.last_index <= log_.LastIndex()) {
      CheckInvariant'
# A responsive voter is replaced by another process with the same name.
mutate answering_voter_replaced $membership \
  'if (!unresponsive || !configuration().IsVoter(id)) continue;' \
  'if (!configuration().IsVoter(id)) continue;'
# The lost voter is removed before its replacement has the entry that promotes it.
mutate remove_before_copy $membership \
  '  if (MatchIndex(plan.replacement) < configurations_.rbegin()->first) return;
' ''
# A learner becomes a voter without a copy of the log.
mutate promote_without_copy $membership \
  '!next.learners.contains(learner) || !IsCaughtUp(learner)' \
  '!next.learners.contains(learner)'
# The commit index on disk covers entries that the same batch replaces.
mutate commit_of_replaced_entries $raft \
  'std::min(hard_state_.commit, durable_index_));' 'hard_state_.commit);'
# A voter whose vote is being taken doesn't stand for election.
mutate demoted_never_stands $raft 'if (!MayStand() ||' 'if (!IsVoter() ||'
# Pending answers are unbounded while the disk makes no progress.
mutate answers_pile_up $raft \
  'if (storage_failed_ || batches_.size() >= kMaxPendingBatches) {' 'if (false) {'
# Entries are written but not synced.
mutate skip_sync $file_log \
  'BOOST_LEAF_CHECK(files_->Write(name, synced_size_, bytes));
      return files_->SyncFile(name);' \
  'return files_->Write(name, synced_size_, bytes);'
# The folder is not synced after a new segment is created.
mutate skip_folder_sync $file_log \
  'BOOST_LEAF_CHECK(files_->SyncFile(name));
    return files_->SyncFolder();' \
  'return files_->SyncFile(name);'
# The snapshot is renamed before its contents are synced.
mutate skip_snapshot_sync $file_log \
  '    BOOST_LEAF_CHECK(files_->SyncFile(kSnapshotTemporary));
' ''
# Part of a failed write stays in the file.
mutate failed_write_stays $file_log \
  'IgnoreFailure([&] { return files_->Truncate(name, synced_size_); });' ''
# Corruption at the end of the log is treated as a torn write.
mutate damage_taken_for_torn $file_log \
  'check == RecordCheck::kIncomplete || HasLostSector(content, offset);' 'true;'
# A write that lacks sectors in its middle is taken for damage.
mutate lost_sector_taken_for_damage $file_log \
  'check == RecordCheck::kValid && !ContinuesWrite(record)' \
  'check == RecordCheck::kValid'
# What a killed process left unsynced counts as durable.
mutate loaded_not_synced $file_log \
  '  BOOST_LEAF_CHECK(SyncLoaded());
' ''
# A failed write is cut without a sync before the next one.
mutate failed_write_returns $file_log \
  '  BOOST_LEAF_CHECK(CutFailedWrite());
' ''
# Compaction removes segments with entries that no snapshot covers.
mutate compact_too_far $file_log \
  'segments_.front().max_index <= compact_to_' 'true'

echo "$caught noticed, ${#missed[@]} not: ${missed[*]:-none}"
[ ${#missed[@]} -eq 0 ]
