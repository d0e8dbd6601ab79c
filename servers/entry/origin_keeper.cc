#include "servers/entry/origin_keeper.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "core/hash.h"

namespace cassiausher {
namespace {

constexpr Duration kMinMaxStreamAge = Seconds(60);
// A caller that takes a stream up is given the route's timeout again.
constexpr int kStreamAgeInTimeouts = 3;

}  // namespace

Duration MaxStreamAge(Duration route_timeout) {
  return std::max(kMinMaxStreamAge, kStreamAgeInTimeouts * route_timeout);
}

StreamNames NamesOf(const RequestId& request, TraitId content) {
  return {.request = StreamName(request.value()),
          .content = StreamName("content-" + ToString({content}))};
}

const StreamName& OriginKeeper::KeyOf(const StreamNames& names) {
  return names.request.empty() ? names.content : names.request;
}

void OriginKeeper::AddOwn(const StreamNames& names, const StreamOrigin& origin,
                          Time now) {
  if (!names.request.empty()) own_.Add(names.request, origin, now);
  own_.Add(names.content, origin, now);
}

void OriginKeeper::SetStores(const std::set<OriginStore>& stores, bool complete,
                             Time now) {
  stores_are_complete_ = complete;
  if (stores == stores_) return;
  stores_ = stores;
  for (auto& [number, search] : pending_searches_) {
    AskNewStores(number, search);
  }
  for (auto& [names, copies] : copies_) {
    std::erase_if(copies.stores, [&](const OriginStore& store) {
      return !stores_.contains(store);
    });
    const auto origin = own_.Find(KeyOf(names), now);
    if (origin.has_value()) CopyWhereMissing(names, *origin, now);
  }
}

const OriginStore* OriginKeeper::ChooseStore(
    const StreamName& name, const std::set<OriginStore>& used) const {
  const auto is_used = [&](const DataCentreId& data_centre) {
    return std::any_of(used.begin(), used.end(), [&](const OriginStore& store) {
      return store.data_centre == data_centre;
    });
  };
  const OriginStore* best = nullptr;
  // Another data centre first, then one that has no copy yet; streams are
  // spread by rendezvous hashing.
  std::tuple<bool, bool, std::uint64_t> best_rank;
  for (const OriginStore& store : stores_) {
    if (used.contains(store)) continue;
    const std::tuple rank(
        store.data_centre != options_.data_centre, !is_used(store.data_centre),
        HashText(store.instance.value(), HashText(name.value(), 0)));
    if (best != nullptr && rank <= best_rank) continue;
    best = &store;
    best_rank = rank;
  }
  return best;
}

std::uint64_t OriginKeeper::CopyWhereMissing(const StreamNames& names,
                                             const StreamOrigin& origin,
                                             Time now) {
  const std::uint64_t number = next_number_++;
  Copies& copies = copies_[names];
  copies.expires_at = origin.expires_at;
  while (copies.stores.size() < options_.copies) {
    const OriginStore* store = ChooseStore(KeyOf(names), copies.stores);
    if (store == nullptr) break;
    copies_to_send_.push_back({.store = store->instance,
                               .number = number,
                               .names = names,
                               .origin = origin});
    copies.stores.insert(*store);
    unconfirmed_copies_[{number, store->instance}] = {
        .names = names, .store = *store, .sent_at = now};
  }
  return number;
}

void OriginKeeper::RepeatCopies(Time now) {
  std::erase_if(unconfirmed_copies_, [&](const auto& item) {
    const UnconfirmedCopy& copy = item.second;
    if (now - copy.sent_at < options_.copy_period) return false;
    return copy.sends >= options_.max_copy_sends ||
           !stores_.contains(copy.store) || !own_.Find(KeyOf(copy.names), now);
  });
  for (auto& [key, copy] : unconfirmed_copies_) {
    if (now - copy.sent_at < options_.copy_period) continue;
    const auto origin = own_.Find(KeyOf(copy.names), now);
    if (!origin.has_value()) continue;
    copy.sent_at = now;
    ++copy.sends;
    copies_to_send_.push_back({.store = copy.store.instance,
                               .number = key.first,
                               .names = copy.names,
                               .origin = *origin});
  }
}

OriginTicket OriginKeeper::Begin(const StreamNames& names,
                                 const StreamOrigin& origin, Time now) {
  const OriginTicket ticket(next_ticket_++);
  AddOwn(names, origin, now);
  const std::uint64_t number = CopyWhereMissing(names, origin, now);
  if (copies_[names].stores.empty()) {
    outcomes_.push_back({.ticket = ticket});
  } else {
    pending_copies_[number] = {.ticket = ticket, .begun_at = now};
  }
  return ticket;
}

OriginTicket OriginKeeper::Search(const StreamNames& names, Time now) {
  const OriginTicket ticket(next_ticket_++);
  const auto known = own_.Find(KeyOf(names), now);
  if (known.has_value() && !names.request.empty()) {
    outcomes_.push_back({.ticket = ticket, .origin = known});
    return ticket;
  }
  const std::uint64_t number = next_number_++;
  PendingSearch& search = pending_searches_[number];
  search = {.ticket = ticket,
            .names = names,
            .begun_at = now,
            .asked_at = now,
            .found = known};
  AskNewStores(number, search);
  return ticket;
}

void OriginKeeper::AskNewStores(std::uint64_t number, PendingSearch& search) {
  for (const OriginStore& store : stores_) {
    if (!search.asked.insert(store).second) continue;
    searches_to_send_.push_back({store.instance, number, KeyOf(search.names)});
    search.unanswered.insert(store.instance);
  }
}

void OriginKeeper::AskAgain(std::uint64_t number, PendingSearch& search,
                            Time now) {
  if (now - search.asked_at < options_.search_period) return;
  search.asked_at = now;
  for (const InstanceId& store : search.unanswered) {
    searches_to_send_.push_back({store, number, KeyOf(search.names)});
  }
}

bool OriginKeeper::IsSafe(const InstanceId& store) const {
  bool has_other_data_centre = false;
  for (const OriginStore& known : stores_) {
    const bool other = known.data_centre != options_.data_centre;
    if (known.instance == store && other) return true;
    has_other_data_centre |= other;
  }
  return !has_other_data_centre;
}

void OriginKeeper::OnStored(const InstanceId& from, std::uint64_t number) {
  unconfirmed_copies_.erase({number, from});
  const auto found = pending_copies_.find(number);
  if (found == pending_copies_.end() || !IsSafe(from)) return;
  outcomes_.push_back({.ticket = found->second.ticket, .copied = true});
  pending_copies_.erase(found);
}

void OriginKeeper::OnAnswer(const InstanceId& from, std::uint64_t number,
                            const std::optional<StreamOrigin>& origin,
                            Time now) {
  const auto found = pending_searches_.find(number);
  if (found == pending_searches_.end()) return;
  PendingSearch& search = found->second;
  search.unanswered.erase(from);
  if (origin.has_value()) {
    search.found =
        search.found.has_value() ? Combine(*search.found, *origin) : origin;
  }
  if (!IsDecided(search, now)) return;
  Conclude(search, now);
  pending_searches_.erase(found);
}

bool OriginKeeper::IsDecided(const PendingSearch& search, Time now) const {
  const Duration waited = now - search.begun_at;
  if (waited >= options_.search_timeout) return true;
  const bool all_answered = !search.asked.empty() && search.unanswered.empty();
  if (!search.found.has_value()) return all_answered && stores_are_complete_;
  if (!search.names.request.empty() || all_answered) return true;
  return waited >= options_.agreement_timeout;
}

void OriginKeeper::Conclude(const PendingSearch& search, Time now) {
  const std::optional<StreamOrigin>& origin = search.found;
  outcomes_.push_back({.ticket = search.ticket,
                       .origin = origin,
                       .unanswered = search.unanswered.size()});
  const bool known = origin.has_value() && origin->version.has_value();
  if (!known || now >= origin->expires_at) return;
  // The instance that began the stream may be gone; this one takes its place
  // in keeping the copies up.
  AddOwn(search.names, *origin, now);
  CopyWhereMissing(search.names, *origin, now);
}

void OriginKeeper::CheckTimeouts(Time now) {
  RepeatCopies(now);
  std::erase_if(pending_copies_, [&](const auto& item) {
    if (now - item.second.begun_at < options_.copy_timeout) return false;
    outcomes_.push_back({.ticket = item.second.ticket});
    return true;
  });
  for (auto& [number, search] : pending_searches_) {
    AskAgain(number, search, now);
  }
  std::erase_if(pending_searches_, [&](const auto& item) {
    if (!IsDecided(item.second, now)) return false;
    Conclude(item.second, now);
    return true;
  });
  own_.Expire(now);
  std::erase_if(
      copies_, [&](const auto& item) { return now >= item.second.expires_at; });
}

std::vector<OriginCopy> OriginKeeper::TakeCopies() {
  return std::exchange(copies_to_send_, {});
}

std::vector<OriginSearch> OriginKeeper::TakeSearches() {
  return std::exchange(searches_to_send_, {});
}

std::vector<OriginOutcome> OriginKeeper::TakeOutcomes() {
  return std::exchange(outcomes_, {});
}

}  // namespace cassiausher
