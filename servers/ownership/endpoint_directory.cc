// Registry of the endpoints of one pool.
#include "servers/ownership/endpoint_directory.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace cassiausher {

namespace {

constexpr std::size_t kNameBytesMaximum = 128;
constexpr std::size_t kUrlBytesMaximum = 256;
constexpr std::uint64_t kIncarnationMaximum = std::uint64_t{1} << 62;

bool IsPrintable(const std::string& text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

bool IsUrl(const std::string& url) {
  const bool has_http_scheme =
      url.rfind("http://", 0) == 0 || url.rfind("https://", 0) == 0;
  return has_http_scheme && url.size() <= kUrlBytesMaximum && IsPrintable(url);
}

}  // namespace

bool EndpointDirectory::Reject(std::uint64_t* counter, const EndpointId& id,
                               const std::string& reason) {
  ++*counter;
  const std::string name = id.value().substr(0, kNameBytesMaximum);
  findings_.push_back({"endpoint " + (IsPrintable(name) ? name : "?"), reason});
  if (findings_.size() > options_.findings_maximum) findings_.pop_front();
  return false;
}

bool EndpointDirectory::CheckPlausible(const EndpointInfo& info) {
  std::uint64_t* counter = &counters_.implausible;
  if (info.slots < 1 || info.slots > options_.slots_maximum) {
    return Reject(counter, info.id,
                  fmt::format("slots {} is not within 1 to {}", info.slots,
                              options_.slots_maximum));
  }
  if (info.kv_capacity < Bytes(0) ||
      info.kv_capacity > options_.kv_capacity_maximum) {
    return Reject(counter, info.id,
                  fmt::format("kv_capacity_bytes {} is not within 0 to {}",
                              info.kv_capacity.value(),
                              options_.kv_capacity_maximum.value()));
  }
  // The negated form also rejects NaN.
  if (!(info.prefill_tokens_per_second >= 0 &&
        info.prefill_tokens_per_second <= options_.prefill_rate_maximum)) {
    return Reject(counter, info.id,
                  fmt::format("prefill_tokens_per_second {} is not within 0 to "
                              "{}",
                              info.prefill_tokens_per_second,
                              options_.prefill_rate_maximum));
  }
  if (info.kv_bytes_per_token < Bytes(0) ||
      info.kv_bytes_per_token > options_.kv_bytes_per_token_maximum) {
    return Reject(counter, info.id,
                  fmt::format("kv_bytes_per_token {} is not within 0 to {}",
                              info.kv_bytes_per_token.value(),
                              options_.kv_bytes_per_token_maximum.value()));
  }
  if (info.incarnation.value() > kIncarnationMaximum) {
    return Reject(counter, info.id,
                  fmt::format("incarnation {} leaves no room for a restart",
                              info.incarnation.value()));
  }
  return true;
}

bool EndpointDirectory::Announce(const EndpointInfo& info, Time now) {
  const bool name_valid = !info.id.empty() &&
                          info.id.value().size() <= kNameBytesMaximum &&
                          IsPrintable(info.id.value());
  if (!name_valid) {
    return Reject(&counters_.malformed, info.id,
                  "the name is empty, too long or not printable");
  }
  if (info.data_centre != options_.data_centre ||
      info.service != options_.service) {
    return Reject(&counters_.wrong_pool, info.id,
                  "announced for another data centre or service than pool " +
                      options_.data_centre.value() + "/" +
                      options_.service.value());
  }
  if (!IsUrl(info.url)) {
    return Reject(&counters_.malformed, info.id, "url is not an HTTP URL");
  }
  if (!CheckPlausible(info)) return false;
  const auto found = entries_.find(info.id);
  if (found == entries_.end()) {
    if (entries_.size() >= options_.endpoints_maximum) {
      return Reject(&counters_.over_capacity, info.id,
                    fmt::format("the pool already has {} endpoints",
                                options_.endpoints_maximum));
    }
    entries_[info.id] = {.info = info, .last_announced = now, .since = now};
    ++counters_.accepted;
    Emit(EndpointEventKind::kUpserted, info);
    return true;
  }
  Entry& entry = found->second;
  if (info.incarnation < entry.info.incarnation) {
    return Reject(
        &counters_.stale_incarnation, info.id,
        fmt::format("incarnation {} is older than {}", info.incarnation.value(),
                    entry.info.incarnation.value()));
  }
  const bool restarted = info.incarnation > entry.info.incarnation;
  if (!restarted && info.url != entry.info.url) {
    // Two processes use one name: orders for a session could go to the wrong
    // one.
    return Reject(&counters_.contradictory, info.id,
                  "announced at " + info.url + " and at " + entry.info.url +
                      " in the same incarnation");
  }
  ++counters_.accepted;
  entry.last_announced = now;
  const bool returned = !entry.present();
  const bool changed = info != entry.info;
  const bool was_suspect = entry.state == EndpointState::kSuspect;
  entry.info = info;
  if (restarted) entry.last_report = 0;
  if (entry.state != EndpointState::kAlive) {
    entry.state = EndpointState::kAlive;
    entry.since = now;
  }
  if (restarted) {
    Emit(EndpointEventKind::kRestarted, info);
  } else if (returned || changed) {
    Emit(EndpointEventKind::kUpserted, info);
  } else if (was_suspect) {
    Emit(EndpointEventKind::kAlive, info);
  }
  return true;
}

std::optional<LoadReport> EndpointDirectory::Report(const LoadReport& report,
                                                    Time now) {
  (void)now;
  const auto found = entries_.find(report.endpoint);
  const auto reject = [&](const std::string& reason) {
    Reject(&counters_.reports_rejected, report.endpoint, reason);
    return std::nullopt;
  };
  if (found == entries_.end() || !found->second.present()) {
    return reject("load report of an endpoint that is not announced");
  }
  Entry& entry = found->second;
  if (report.incarnation != entry.info.incarnation) {
    return reject("load report of another incarnation");
  }
  if (report.sequence <= entry.last_report) {
    return reject(fmt::format("load report {} is not newer than {}",
                              report.sequence, entry.last_report));
  }
  const bool counts_valid = report.running >= 0 && report.waiting >= 0 &&
                            report.running <= options_.slots_maximum &&
                            report.waiting <= options_.waiting_maximum &&
                            report.queued_prompt_tokens >= Tokens(0);
  const bool memory_valid = report.kv_bytes >= Bytes(0) &&
                            report.kv_bytes <= options_.kv_capacity_maximum;
  const bool age_valid =
      report.age >= Duration(0) && report.age <= options_.report_age_maximum;
  if (!counts_valid || !memory_valid || !age_valid) {
    return reject("load report with figures out of range");
  }
  entry.last_report = report.sequence;
  return report;
}

void EndpointDirectory::SetDrained(const std::set<EndpointId>& drained,
                                   Time now) {
  (void)now;
  const std::set<EndpointId> before = std::exchange(drained_, drained);
  for (const auto& [id, entry] : entries_) {
    const bool changed = before.count(id) != drained_.count(id);
    if (changed && entry.present()) {
      Emit(EndpointEventKind::kUpserted, entry.info);
    }
  }
}

EndpointInfo EndpointDirectory::WithOperatorDrain(
    const EndpointInfo& info) const {
  EndpointInfo effective = info;
  effective.departing = info.departing || drained_.count(info.id) > 0;
  return effective;
}

void EndpointDirectory::Emit(EndpointEventKind kind, const EndpointInfo& info) {
  events_.push_back({kind, WithOperatorDrain(info)});
}

Time EndpointDirectory::Due(const Entry& entry) const {
  switch (entry.state) {
    case EndpointState::kAlive:
      return entry.last_announced + options_.suspect_after;
    case EndpointState::kSuspect:
      return entry.last_announced + options_.dead_after;
    default:
      return entry.since + options_.forget_after;
  }
}

void EndpointDirectory::SetState(Entry& entry, EndpointState state, Time now) {
  entry.state = state;
  entry.since = now;
  const EndpointEventKind kind =
      state == EndpointState::kSuspect    ? EndpointEventKind::kSuspect
      : state == EndpointState::kDeparted ? EndpointEventKind::kDeparted
                                          : EndpointEventKind::kDead;
  Emit(kind, entry.info);
}

void EndpointDirectory::Tick(Time now) {
  for (auto position = entries_.begin(); position != entries_.end();) {
    Entry& entry = position->second;
    if (now >= Due(entry) && !entry.present()) {
      position = entries_.erase(position);
      continue;
    }
    if (now >= Due(entry) && entry.state == EndpointState::kAlive) {
      SetState(entry, EndpointState::kSuspect, now);
    }
    if (now >= Due(entry) && entry.state == EndpointState::kSuspect) {
      SetState(entry,
               entry.info.departing ? EndpointState::kDeparted
                                    : EndpointState::kDead,
               now);
    }
    ++position;
  }
}

Time EndpointDirectory::NextWakeup() const {
  Time next = Time::max();
  for (const auto& [id, entry] : entries_) next = std::min(next, Due(entry));
  return next;
}

std::vector<EndpointEvent> EndpointDirectory::TakeEvents() {
  return std::exchange(events_, {});
}

std::vector<DirectoryRow> EndpointDirectory::Endpoints() const {
  std::vector<DirectoryRow> rows;
  for (const auto& [id, entry] : entries_) {
    rows.push_back({.info = WithOperatorDrain(entry.info),
                    .state = entry.state,
                    .last_announced = entry.last_announced,
                    .since = entry.since,
                    .drained_by_operator = drained_.count(id) > 0});
  }
  return rows;
}

}  // namespace cassiausher
