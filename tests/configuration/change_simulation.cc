// Virtual time, faults and invariants of the change simulation.
#include "tests/configuration/change_simulation.h"

#include <fmt/format.h>

#include <algorithm>

namespace cassiausher {
namespace {

constexpr Duration kStep = Milliseconds(10);
constexpr const char* kDataCentres[] = {"east", "north", "west"};

Operation SetPriority(std::int64_t priority) {
  return {OperationKind::kSet, ObjectKind::kClass, "long",
          "priority",          priority,           {1, 1}};
}

Operation CreateDataCentre(const char* data_centre) {
  return {OperationKind::kCreate,
          ObjectKind::kDataCentre,
          data_centre,
          "",
          false,
          {1, 1}};
}

}  // namespace

ChangeSimulation::ChangeSimulation(std::uint64_t seed) : random_(seed) {
  for (const char* data_centre : kDataCentres) {
    AddInstance(data_centre, 1, true);
    AddInstance(data_centre, 2, false);
  }
  AddInstance("east", 3, false);
  // The first committed entries create the initial configuration.
  Change first;
  first.id = ChangeId("bootstrap");
  first.operations = {
      {OperationKind::kCreate, ObjectKind::kClass, "long", "", false, {1, 1}}};
  for (const char* data_centre : kDataCentres) {
    first.operations.push_back(CreateDataCentre(data_centre));
  }
  log_.push_back(EncodeStateEntry(StageEntry{first}));
  log_.push_back(EncodeStateEntry(ActivateEntry{1}));
  accepted_ids_[1] = "bootstrap";
}

void ChangeSimulation::AddInstance(const std::string& data_centre, int number,
                                   bool voter) {
  auto instance = std::make_unique<Instance>();
  instance->id = InstanceId(fmt::format("{}-{}", data_centre, number));
  instance->data_centre = DataCentreId(data_centre);
  StartFollower(instance.get());
  if (voter) {
    instance->state = std::make_unique<ReplicatedState>();
    instance->coordinator =
        std::make_unique<ChangeCoordinator>(instance->state.get());
  }
  instances_.push_back(std::move(instance));
}

void ChangeSimulation::StartFollower(Instance* instance) {
  instance->follower = std::make_unique<ConfigurationFollower>(
      FollowerOptions{.instance = instance->id,
                      .data_centre = instance->data_centre,
                      .incarnation = Incarnation(instance->incarnation)});
}

void ChangeSimulation::Schedule(Duration delay, std::function<void()> run) {
  events_.emplace(now_ + delay, std::move(run));
}

void ChangeSimulation::Advance(Duration duration) {
  const Time end = now_ + duration;
  while (now_ < end) {
    now_ += kStep;
    while (!events_.empty() && events_.begin()->first <= now_) {
      const auto run = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      run();
    }
    Step();
  }
}

void ChangeSimulation::Run(Duration duration) {
  const Time end = now_ + duration;
  while (now_ < end) {
    Advance(Milliseconds(50));
    if (random_.Chance(0.06)) InjectFault();
    if (leader_ != nullptr && random_.Chance(0.3)) SubmitRandomChange(leader_);
  }
  loss_rate_ = 0;
  partitioned_.clear();
  for (auto& instance : instances_) {
    instance->up = true;
    instance->isolated = false;
  }
  Advance(Seconds(12));
}

void ChangeSimulation::CheckConvergence() {
  Expect(open_submissions_.empty(),
         "every submission is answered or abandoned");
  Expect(leader_ != nullptr, "a leader exists after healing");
  if (leader_ == nullptr) return;
  // Includes every data centre, so that all must confirm.
  for (const char* data_centre : kDataCentres) {
    const DataCentreId id(data_centre);
    if (!leader_->state->active()->excluded_data_centres.contains(id)) continue;
    Submit(leader_, fmt::format("include-{}", data_centre), data_centre,
           std::nullopt,
           {OperationKind::kInclude,
            ObjectKind::kDataCentre,
            data_centre,
            "",
            false,
            {1, 1}});
    Advance(Seconds(1));
  }
  const int before = in_force_answers_;
  Submit(leader_, "last", "last", std::nullopt, SetPriority(77));
  Advance(Seconds(1));
  Expect(in_force_answers_ == before + 1,
         "a change on a healthy network is in force within a second");
  const auto& state = *leader_->state;
  for (auto& instance : instances_) {
    const auto& active = instance->follower->active();
    Expect(active != nullptr && *active == *state.active(),
           instance->id.value() + " runs the leader's configuration");
    Expect(instance->follower->LeaseValid(now_),
           instance->id.value() + " holds a lease");
    if (instance->state == nullptr) continue;
    ApplyLog(instance.get(), true);
    Expect(instance->state->Snapshot() == state.Snapshot(),
           "replicas that applied the same entries are equal");
  }
}

bool ChangeSimulation::Reachable(const Instance& a, const Instance& b) const {
  if (&a == &b) return a.up;
  if (!a.up || !b.up || a.isolated || b.isolated) return false;
  if (a.data_centre == b.data_centre) return true;
  return !partitioned_.contains(a.data_centre) &&
         !partitioned_.contains(b.data_centre);
}

bool ChangeSimulation::HasQuorum(const Instance& leader) const {
  const auto reached =
      std::count_if(instances_.begin(), instances_.end(), [&](const auto& it) {
        return it->state != nullptr && Reachable(leader, *it);
      });
  return reached >= 2;
}

LiveMembers ChangeSimulation::MembersSeenBy(const Instance& observer) const {
  LiveMembers members;
  for (const auto& instance : instances_) {
    if (!Reachable(observer, *instance)) continue;
    members[instance->data_centre].insert(instance->id);
  }
  return members;
}

ChangeSimulation::Instance* ChangeSimulation::FindInstance(
    const InstanceId& id) {
  for (auto& instance : instances_) {
    if (instance->id == id) return instance.get();
  }
  return nullptr;
}

void ChangeSimulation::Step() {
  if (leader_ == nullptr || !HasQuorum(*leader_) ||
      !leader_->coordinator->leading()) {
    if (random_.Chance(0.05)) Elect();
  }
  for (auto& instance : instances_) {
    if (!instance->up) continue;
    if (instance->state != nullptr) ApplyLog(instance.get(), false);
    if (instance->coordinator != nullptr && instance->coordinator->leading()) {
      if (instance.get() == leader_ && HasQuorum(*leader_)) {
        leader_->coordinator->OnQuorumContact(now_ - Milliseconds(50));
      }
      // Membership lags by up to a second.
      const auto seen = MembersSeenBy(*instance);
      Instance* observer = instance.get();
      Schedule(Milliseconds(static_cast<int>(random_.Below(1000))),
               [this, observer, seen] {
                 observer->coordinator->SetMembers(seen, now_);
               });
      instance->coordinator->Tick(now_);
    }
    instance->follower->Tick(now_);
    ProcessOutputs(instance.get());
  }
  CheckLeases();
}

void ChangeSimulation::InjectFault() {
  Instance* victim = instances_[random_.Below(instances_.size())].get();
  switch (random_.Below(6)) {
    case 0:  // Partitions a data centre, or heals the partition.
      if (partitioned_.empty()) {
        partitioned_.insert(DataCentreId(kDataCentres[random_.Below(3)]));
      } else {
        partitioned_.clear();
      }
      return;
    case 1:
      victim->isolated = !victim->isolated;
      return;
    case 2: {  // A process crashes and restarts without its memory.
      if (victim == leader_) Elect();
      victim->up = false;
      if (victim->coordinator != nullptr) {
        victim->coordinator->StepDown();
        ProcessOutputs(victim);
        // The log on disk survives, here as a snapshot.
        ReplicatedState restored;
        Expect(restored.Restore(victim->state->Snapshot()).empty(),
               "a snapshot can be restored");
        *victim->state = std::move(restored);
      }
      Schedule(Milliseconds(static_cast<int>(random_.Below(4000))),
               [this, victim] {
                 victim->up = true;
                 ++victim->incarnation;
                 StartFollower(victim);
                 if (victim->state != nullptr) {
                   victim->follower->Adopt(*victim->state);
                 }
               });
      return;
    }
    case 3:
      Elect();
      return;
    default:
      victim->isolated = false;
      victim->up = true;
  }
}

void ChangeSimulation::Elect() {
  std::vector<Instance*> candidates;
  for (auto& instance : instances_) {
    if (instance->state == nullptr || instance.get() == leader_) continue;
    if (instance->up && HasQuorum(*instance)) {
      candidates.push_back(instance.get());
    }
  }
  Instance* previous = leader_;
  if (candidates.empty()) return;
  ++term_;
  leader_ = candidates[random_.Below(candidates.size())];
  // The previous leader learns of the election later and leads until then.
  if (previous != nullptr) {
    Schedule(Milliseconds(static_cast<int>(random_.Below(700))),
             [this, previous] {
               if (previous == leader_) return;
               previous->coordinator->StepDown();
               ProcessOutputs(previous);
             });
  }
  ApplyLog(leader_, true);
  leader_->coordinator->SetMembers(MembersSeenBy(*leader_), now_);
  leader_->coordinator->BecomeLeader(now_);
}

void ChangeSimulation::Commit(const Instance& proposer, std::uint64_t term,
                              std::string entry) {
  // A proposal of a deposed or partitioned leader is never committed.
  if (term != term_ || &proposer != leader_) return;
  if (!proposer.up || !HasQuorum(proposer)) return;
  log_.push_back(std::move(entry));
}

void ChangeSimulation::ApplyLog(Instance* voter, bool all) {
  while (voter->applied < log_.size()) {
    if (!all && !HasQuorum(*voter)) return;
    if (!all && voter != leader_ && random_.Chance(0.5)) return;
    ++voter->applied;
    const auto applied =
        voter->state->ApplyBytes(voter->applied, log_[voter->applied - 1]);
    Expect(std::holds_alternative<Applied>(applied), "entries decode");
    voter->coordinator->OnApplied(std::get<Applied>(applied), now_);
  }
  ProcessOutputs(voter);
}

void ChangeSimulation::SubmitRandomChange(Instance* leader) {
  const Configuration& active = *leader->state->active();
  std::optional<Revision> expected;
  if (random_.Chance(0.5)) expected = active.revision;
  // Half of the ids are new; the others repeat one with the same text or,
  // rarely, with another.
  const int id = random_.Chance(0.5)
                     ? next_id_++
                     : static_cast<int>(random_.Below(next_id_)) + 1;
  const std::string name = fmt::format("c-{}", id);
  if (random_.Chance(0.1)) {
    const DataCentreId target(kDataCentres[random_.Below(3)]);
    const bool excluded = active.excluded_data_centres.contains(target);
    Submit(leader, fmt::format("x-{}", next_id_++), target.value(),
           std::nullopt,
           {excluded ? OperationKind::kInclude : OperationKind::kExclude,
            ObjectKind::kDataCentre,
            target.value(),
            "",
            false,
            {1, 1}});
    return;
  }
  const bool other_text = random_.Chance(0.1);
  const std::string body = other_text ? "other" : "same";
  // The operation follows from the text, as it does for a parsed statement.
  Submit(leader, name, body, expected, SetPriority(id % 900 + other_text));
}

void ChangeSimulation::Submit(Instance* leader, const std::string& id,
                              const std::string& body,
                              std::optional<Revision> expected,
                              const Operation& operation) {
  Change change;
  change.id = ChangeId(id);
  change.operations = {operation};
  // A resubmission is the same statement with the same expected revision.
  change.expected_revision =
      expected_.emplace(std::pair(id, body), expected).first->second;
  change.text = body;

  const std::uint64_t submission = next_submission_++;
  submissions_[submission] = {id, body, change.expected_revision};
  open_submissions_.insert(submission);
  leader->coordinator->Submit(submission, change, now_);
  ProcessOutputs(leader);
}

void ChangeSimulation::Send(const Instance& from, const InstanceId& to,
                            ConfigurationMessage message) {
  const auto bytes = EncodeMessage(message);
  const InstanceId sender = from.id;
  const int copies = random_.Chance(loss_rate_) ? 0
                     : random_.Chance(0.1)      ? 2
                                                : 1;
  for (int i = 0; i < copies; ++i) {
    const bool long_delay = random_.Chance(loss_rate_ / 5);
    Schedule(
        long_delay ? Seconds(2) : RandomDelay(), [this, sender, to, bytes] {
          Instance* target = FindInstance(to);
          if (target == nullptr || !Reachable(*FindInstance(sender), *target))
            return;
          const auto decoded = DecodeMessage(bytes);
          Expect(std::holds_alternative<ConfigurationMessage>(decoded),
                 "messages decode");
          Deliver(sender, target, std::get<ConfigurationMessage>(decoded));
          ProcessOutputs(target);
        });
  }
}

void ChangeSimulation::Deliver(const InstanceId& from, Instance* to,
                               const ConfigurationMessage& message) {
  if (const auto* stage = std::get_if<Stage>(&message)) {
    to->follower->OnStage(from, *stage, now_);
  } else if (const auto* activate = std::get_if<Activate>(&message)) {
    to->follower->OnActivate(from, *activate, now_);
  } else if (to->coordinator == nullptr) {
    return;
  } else if (const auto* follow = std::get_if<Follow>(&message)) {
    to->coordinator->OnFollow(*follow, now_);
  } else if (const auto* staged = std::get_if<Staged>(&message)) {
    to->coordinator->OnStaged(*staged, now_);
  } else if (const auto* activated = std::get_if<Activated>(&message)) {
    to->coordinator->OnActivated(*activated, now_);
  }
}

void ChangeSimulation::ProcessOutputs(Instance* instance) {
  for (auto& output : instance->follower->TakeOutputs()) {
    if (const auto* follow = std::get_if<SendFollow>(&output)) {
      // Some reach a deposed leader or another instance.
      Instance* target = instances_[random_.Below(instances_.size())].get();
      const bool to_leader =
          leader_ != nullptr && random_.Chance(1 - loss_rate_);
      Send(*instance, to_leader ? leader_->id : target->id, follow->follow);
    } else if (const auto* send = std::get_if<SendToInstance>(&output)) {
      Send(*instance, send->to, send->message);
    } else {
      const auto& changed = std::get<ConfigurationChanged>(output);
      Revision& reached = reached_revisions_[instance->data_centre];
      reached = std::max(reached, changed.configuration->revision);
    }
  }
  if (instance->coordinator == nullptr) return;
  for (auto& output : instance->coordinator->TakeOutputs()) {
    if (const auto* propose = std::get_if<Propose>(&output)) {
      const auto entry = EncodeStateEntry(propose->entry);
      const std::uint64_t term = term_;
      if (instance != leader_) continue;
      const auto commit = [this, instance, term, entry] {
        Commit(*instance, term, entry);
      };
      Schedule(RandomDelay(), commit);
      // A duplicate of a proposal may be committed long after the first.
      if (random_.Chance(0.1)) Schedule(20 * RandomDelay(), commit);

    } else if (const auto* send = std::get_if<SendToInstance>(&output)) {
      Send(*instance, send->to, send->message);
    } else if (const auto* abandoned =
                   std::get_if<AbandonSubmission>(&output)) {
      open_submissions_.erase(abandoned->submission);
    } else {
      const auto& answer = std::get<AnswerSubmission>(output);
      OnAnswer(answer.submission, answer.answer);
    }
  }
}

void ChangeSimulation::OnAnswer(std::uint64_t submission,
                                const ChangeAnswer& answer) {
  Expect(open_submissions_.erase(submission) == 1,
         "a submission is answered once");
  const Submission& asked = submissions_.at(submission);
  if (!answer.accepted) ++refused_;
  // A refusal of a reused id isn't recorded under the refused text.
  const bool other_text = !answer.findings.empty() &&
                          answer.findings.items().front().place == "change id";
  if (other_text) return;
  const auto [first, is_new] =
      answers_.emplace(std::pair(asked.id, asked.text), answer);
  const ChangeAnswer& known = first->second;
  Expect(known.accepted == answer.accepted && known.revision == answer.revision,
         "the same id gets the same answer");
  Expect(answer.in_force >= known.in_force, "in force never turns false");
  Expect(answer.accepted || known.findings.items() == answer.findings.items(),
         "the same id gets the same findings");
  first->second.in_force = answer.in_force;
  if (!answer.accepted) return;
  const auto [recorded, is_first] =
      accepted_ids_.emplace(answer.revision.value(), asked.id);
  Expect(recorded->second == asked.id,
         "only one change is accepted for a revision");
  Expect(!asked.expected || answer.revision == *asked.expected + Revision(1),
         "a change applies to the revision it expects");

  if (!answer.in_force) return;
  ++in_force_answers_;
  in_force_revision_ = std::max(in_force_revision_, answer.revision);
  const auto& excluded = leader_->state->active()->excluded_data_centres;
  for (const char* name : kDataCentres) {
    const DataCentreId id(name);
    if (excluded.contains(id)) continue;
    Expect(reached_revisions_[id] >= answer.revision,
           "a revision in force has reached every data centre");
  }
}

void ChangeSimulation::CheckLeases() {
  for (const auto& instance : instances_) {
    if (!instance->up || !instance->follower->LeaseValid(now_)) continue;
    Expect(instance->follower->active()->revision >= in_force_revision_,
           "an instance with a lease runs the revision in force");
  }
}

void ChangeSimulation::Expect(bool holds, const std::string& invariant) {
  if (holds) return;
  violations_.push_back(
      fmt::format("at {} ms: {}", ToMilliseconds(now_ - Time()), invariant));
}

}  // namespace cassiausher
