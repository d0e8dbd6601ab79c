#include "main/node/relay_client.h"

#include <fmt/format.h>

#include <string_view>
#include <vector>

#include "core/log.h"
#include "drivers/clock.h"

namespace cassiausher {
namespace {

// Between trials whether a service is within reach again.
constexpr Duration kTrialPeriod = Milliseconds(300);
constexpr Duration kTrialTimeout = Milliseconds(250);
// A newer configuration that a helper applied arrives here within this time, or
// is known to be missing.
constexpr Duration kConfigurationDelay = Milliseconds(1200);

std::string_view Name(Reach reach) {
  switch (reach) {
    case Reach::kReached:
      return "all";
    case Reach::kWithoutPrefill:
      return "without_prefill";
    case Reach::kNone:
      return "none";
  }
  return "all";
}

std::string_view Name(RelayEnd end) {
  switch (end) {
    case RelayEnd::kAnswered:
      return "answered";
    case RelayEnd::kUnable:
      return "unable";
    case RelayEnd::kAbandoned:
      return "abandoned";
  }
  return "abandoned";
}

}  // namespace

/// One connection that is only opened, to see whether it can be.
struct RelayClient::Trial : HttpCallSink {
  RelayClient* owner = nullptr;
  EndpointRecord endpoint;
  Time began{};
  HttpClient::CallId call = 0;
  bool done = false;

  void OnHeaders(int, SoupMessageHeaders*) override {}
  void OnBody(std::string_view) override {}
  void OnDone(std::string_view error, bool) override {
    done = true;
    const Time now = BootTimeNow();
    if (error.empty()) {
      owner->OnConnected(endpoint, began, now);
    } else {
      owner->OnUnreachable(endpoint, now);
    }
  }
};

RelayClient::RelayClient(std::uint64_t random_seed, const EndpointPool* pool,
                         HttpClient* client, Metrics& metrics)
    : pool_(pool),
      client_(client),
      metrics_(metrics),
      out_of_reach_(metrics.gauge("services_out_of_reach")),
      planner_({.random_seed = random_seed}, pool),
      random_(random_seed) {}

RelayClient::~RelayClient() {
  for (const auto& [service, trial] : trials_) {
    if (!trial->done) client_->Cancel(trial->call);
  }
}

void RelayClient::OnConnected(const EndpointRecord& endpoint, Time began,
                              Time now) {
  const Reach before = planner_.reach().Of(endpoint.service);
  planner_.reach().OnConnected(endpoint, began);
  LogReach(endpoint, before, now);
}

void RelayClient::OnUnreachable(const EndpointRecord& endpoint, Time now) {
  const Reach before = planner_.reach().Of(endpoint.service);
  planner_.reach().OnUnreachable(endpoint, now);
  LogReach(endpoint, before, now);
}

void RelayClient::LogReach(const EndpointRecord& endpoint, Reach before,
                           Time now) {
  const Reach after = planner_.reach().Of(endpoint.service);
  if (after == before) return;
  changed_ = true;
  out_of_reach_.Set(
      static_cast<std::int64_t>(planner_.reach().OutOfReach().size()));
  // Control instances that hear the endpoints tell a cut of this instance from
  // endpoints that are gone.
  std::size_t heard = 0;
  const auto endpoints = pool_->ReadyEndpoints(endpoint.service, std::nullopt);
  for (const EndpointRecord* ready : endpoints) {
    if (!pool_->IsSilent(ready->id, now)) ++heard;
  }
  Log(LogLevel::kWarning, "reach_changed",
      {{"service", endpoint.service.value()},
       {"reach", Name(after)},
       {"before", Name(before)},
       {"last_endpoint", endpoint.id.value()},
       {"endpoints", endpoints.size()},
       {"heard_by_control", heard}});
}

void RelayClient::OnUpdate(const InstanceId& from, const proto::Update& update,
                           Time now) {
  for (const proto::RelayHelpers& message : update.relay_helpers()) {
    const ServiceId service(message.service());
    NamedHelpers named{.cut_off = message.cut_off()};
    std::string addresses;
    for (const proto::RelayOffer& offer : message.helpers()) {
      named.helpers.push_back(
          {.address = offer.address(), .token = RelayToken(offer.token())});
      if (!addresses.empty()) addresses += ' ';
      addresses += offer.address();
    }
    const bool is_news = planner_.AwaitsHelpers(service, now);
    const std::uint32_t cut_off = named.cut_off;
    planner_.SetHelpers(from, service, std::move(named), now);
    if (!is_news) continue;
    Log(LogLevel::kInfo, "helpers_named",
        {{"service", service.value()},
         {"control", from.value()},
         {"helpers", addresses},
         {"cut_off", cut_off},
         {"entry_instances", update.entry_instances()}});
  }
}

void RelayClient::WriteReach(proto::Follow* follow) const {
  for (const ServiceId& service : planner_.reach().Doubtful()) {
    follow->add_doubtful_services(service.value());
  }
  for (const ServiceId& service : planner_.reach().OutOfReach()) {
    follow->add_services_out_of_reach(service.value());
  }
}

void RelayClient::OnEnd(const std::string& helper, RelayEnd end, bool answered,
                        Time now) {
  planner_.OnEnd(helper, end, answered, now);
  metrics_
      .counter(fmt::format("relayed_requests_total{{end=\"{}\"}}", Name(end)))
      .Add();
}

void RelayClient::OnHelperConfiguration(Revision version, Time now) {
  if (version <= shown_configuration_) return;
  shown_configuration_ = version;
  shown_at_ = now;
}

bool RelayClient::HasShownNewer(Revision version, Time now) const {
  return shown_configuration_ > version &&
         now - shown_at_ < kConfigurationDelay;
}

void RelayClient::Tick(Time now) {
  const std::set<ServiceId> services = planner_.reach().OutOfReach();
  std::erase_if(trials_, [&](const auto& item) {
    return item.second->done && !services.contains(item.first);
  });
  for (const ServiceId& service : services) {
    std::unique_ptr<Trial>& trial = trials_[service];
    if (trial && (!trial->done || now - trial->began < kTrialPeriod)) continue;
    const std::vector<EndpointRecord> endpoints =
        planner_.reach().ToTry(service);
    if (endpoints.empty()) continue;
    trial = std::make_unique<Trial>();
    trial->owner = this;
    trial->endpoint = endpoints[random_.Below(endpoints.size())];
    trial->began = now;
    trial->call = client_->Start({.method = "GET",
                                  .url = "http://" + trial->endpoint.address,
                                  .new_connection = true,
                                  .timeout = kTrialTimeout,
                                  .connect_only = true},
                                 trial.get());
  }
}

}  // namespace cassiausher
