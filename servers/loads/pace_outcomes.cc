#include "servers/loads/pace_outcomes.h"

namespace cassiausher {
namespace {

void AddCounts(const PaceOutcomes& more, int factor, PaceOutcomes* sum) {
  sum->recoveries += factor * more.recoveries;
  sum->settled += factor * more.settled;
  sum->started += factor * more.started;
  sum->ended += factor * more.ended;
  sum->answered += factor * more.answered;
  sum->refused += factor * more.refused;
  sum->failed += factor * more.failed;
  sum->relative_time += factor * more.relative_time;
}

}  // namespace

void AddOutcomes(const EndpointPaceOutcomes& more, EndpointPaceOutcomes* sum) {
  for (const auto& [endpoint, outcomes] : more) {
    PaceOutcomes& total = (*sum)[endpoint];
    if (outcomes.incarnation < total.incarnation) continue;
    if (outcomes.incarnation > total.incarnation) total = {};
    total.incarnation = outcomes.incarnation;
    AddCounts(outcomes, 1, &total);
  }
}

void SubtractOutcomes(const EndpointPaceOutcomes& part,
                      EndpointPaceOutcomes* sum) {
  for (const auto& [endpoint, outcomes] : part) {
    const auto found = sum->find(endpoint);
    if (found == sum->end()) continue;
    PaceOutcomes& total = found->second;
    if (outcomes.incarnation != total.incarnation) continue;
    AddCounts(outcomes, -1, &total);
    if (total == PaceOutcomes{.incarnation = total.incarnation}) {
      sum->erase(found);
    }
  }
}

}  // namespace cassiausher
