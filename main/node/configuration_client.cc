#include "main/node/configuration_client.h"

#include <random>
#include <utility>

#include "core/compression.h"
#include "core/log.h"
#include "main/node/node_messages.h"

namespace cassiausher {
namespace {

// Control instances accept no larger document from an operator.
constexpr std::size_t kMaxDocumentBytes = std::size_t{8} << 20;

std::uint64_t RandomSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

}  // namespace

ConfigurationClient::ConfigurationClient(const NodeSettings& settings,
                                         const ConfigurationCodec& codec,
                                         NodeLink* link)
    : codec_(codec),
      link_(link),
      fetcher_({.self = InstanceId(settings.ip),
                .data_centre = settings.data_centre}),
      freshness_({}),
      key_seed_(RandomSeed()) {}

Revision ConfigurationClient::version() const {
  return routes_ == nullptr ? Revision(0) : routes_->version();
}

void ConfigurationClient::OnNotice(const InstanceId& from,
                                   const proto::ConfigurationNotice& notice,
                                   Time now) {
  const Revision newest(notice.newest_version());
  if (freshness_.OnNotice(newest, ConfirmedAt(notice, now), now)) {
    Log(LogLevel::kInfo, "configuration_announced",
        {{"version", newest.value()}, {"control", from.value()}});
  }
  fetcher_.OnSource(from, DataCentreId(notice.data_centre()),
                    Revision(notice.held_version()), now);
  SendRequest(now);
}

void ConfigurationClient::OnChunk(const InstanceId& from,
                                  const proto::ConfigurationChunk& chunk,
                                  Time now) {
  const auto document =
      fetcher_.OnChunk(from, {.version = Revision(chunk.version()),
                              .offset = chunk.offset(),
                              .total_size = chunk.total_size(),
                              .data = chunk.data()});
  if (document.has_value()) {
    const auto text = Decompress(document->compressed, kMaxDocumentBytes);
    if (text.has_value()) {
      Apply(document->version, *text);
    } else {
      fetcher_.Reject(document->version);
      Log(LogLevel::kError, "configuration_unreadable",
          {{"version", document->version.value()},
           {"findings", "can't be decompressed"}});
    }
  }
  SendRequest(now);
}

void ConfigurationClient::OnDocument(const proto::VersionedDocument& message) {
  Apply(Revision(message.version()), message.document());
}

void ConfigurationClient::Apply(Revision version, std::string_view document) {
  if (routes_ != nullptr && version <= routes_->version()) return;
  Findings findings;
  auto configuration = codec_.Decode(document, &findings);
  if (!configuration.has_value()) {
    fetcher_.Reject(version);
    Log(LogLevel::kError, "configuration_unreadable",
        {{"version", version.value()}, {"findings", ToString(findings)}});
    return;
  }
  routes_ =
      std::make_shared<const RouteTable>(std::move(*configuration), key_seed_);
  freshness_.OnApplied(version);
  Log(LogLevel::kInfo, "configuration_applied",
      {{"version", version.value()},
       {"newest_known", freshness_.newest().value()},
       {"routes", routes_->configuration().routes.size()}});
}

void ConfigurationClient::SendRequest(Time now) {
  const auto request = fetcher_.NextRequest(version(), now);
  if (!request.has_value()) return;
  proto::NodeMessage message;
  auto* fetch = message.mutable_fetch_configuration();
  fetch->set_version(request->version.value());
  fetch->set_offset(request->offset);
  link_->Send(request->source, std::move(message));
}

}  // namespace cassiausher
