#include "main/node/origin_client.h"

#include <set>
#include <utility>

#include "core/log.h"
#include "main/node/origin_messages.h"

namespace cassiausher {

OriginClient::OriginClient(const NodeSettings& settings, Metrics& metrics,
                           NodeLink* link)
    : link_(link),
      stored_(metrics.counter("stream_origins_stored_total")),
      unconfirmed_(metrics.counter("stream_origins_unconfirmed_total")),
      found_(metrics.counter("stream_origins_found_total")),
      unknown_(metrics.counter("stream_origins_unknown_total")),
      kept_(metrics.gauge("stream_origins")),
      keeper_({.data_centre = settings.data_centre}) {}

void OriginClient::Store(const StreamNames& names, const StreamOrigin& origin,
                         StoredCallback callback, Time now) {
  const OriginTicket ticket = keeper_.Begin(names, origin, now);
  callbacks_[ticket] = [this, names, callback = std::move(callback)](
                           const OriginOutcome& outcome) {
    (outcome.copied ? stored_ : unconfirmed_).Add();
    if (!outcome.copied) {
      Log(LogLevel::kWarning, "stream_origin_unconfirmed",
          {{"request", names.request.value()}});
    }
    callback();
  };
  SendMessages(now);
  DeliverOutcomes();
}

void OriginClient::Find(const StreamNames& names, FoundCallback callback,
                        Time now) {
  const OriginTicket ticket = keeper_.Search(names, now);
  callbacks_[ticket] = [this, names, callback = std::move(callback)](
                           const OriginOutcome& outcome) {
    (outcome.origin.has_value() ? found_ : unknown_).Add();
    if (!outcome.origin.has_value()) {
      Log(LogLevel::kWarning, "stream_origin_unknown",
          {{"begun_as", names.request.value()},
           {"content", names.content.value()},
           {"unanswered", outcome.unanswered}});
    }
    callback(outcome.origin);
  };
  SendMessages(now);
  DeliverOutcomes();
}

void OriginClient::SetControls(const ControlDirectory& controls, Time now) {
  std::set<OriginStore> stores;
  bool complete = true;
  for (const auto& [instance, control] : controls.controls()) {
    complete &= control.connected;
    if (!control.connected || !control.keeps_origins) continue;
    stores.insert({.instance = instance,
                   .process = control.process,
                   .data_centre = control.data_centre});
  }
  keeper_.SetStores(stores, complete, now);
  SendMessages(now);
}

void OriginClient::OnStored(const InstanceId& from,
                            const proto::OriginsStored& stored) {
  keeper_.OnStored(from, stored.number());
  DeliverOutcomes();
}

void OriginClient::OnAnswer(const InstanceId& from,
                            const proto::OriginAnswer& answer, Time now) {
  std::optional<StreamOrigin> origin;
  if (answer.has_origin()) origin = ReadOrigin(answer.origin(), now);
  keeper_.OnAnswer(from, answer.number(), origin, now);
  SendMessages(now);
  DeliverOutcomes();
}

void OriginClient::Tick(Time now) {
  keeper_.CheckTimeouts(now);
  SendMessages(now);
  kept_.Set(static_cast<std::int64_t>(keeper_.streams()));
  DeliverOutcomes();
}

void OriginClient::SendMessages(Time now) {
  for (const OriginCopy& copy : keeper_.TakeCopies()) {
    proto::NodeMessage message;
    proto::StoreOrigins* store = message.mutable_store_origins();
    store->set_number(copy.number);
    for (const StreamName& name : {copy.names.request, copy.names.content}) {
      if (name.empty()) continue;
      WriteOrigin(name, copy.origin, now, store->add_origins());
    }
    link_->Send(copy.store, std::move(message));
  }
  for (const OriginSearch& search : keeper_.TakeSearches()) {
    proto::NodeMessage message;
    message.mutable_find_origin()->set_number(search.number);
    message.mutable_find_origin()->set_stream(search.name.value());
    link_->Send(search.store, std::move(message));
  }
}

void OriginClient::DeliverOutcomes() {
  for (const OriginOutcome& outcome : keeper_.TakeOutcomes()) {
    const auto found = callbacks_.find(outcome.ticket);
    if (found == callbacks_.end()) continue;
    const Callback callback = std::move(found->second);
    callbacks_.erase(found);
    callback(outcome);
  }
}

}  // namespace cassiausher
