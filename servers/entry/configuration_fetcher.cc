#include "servers/entry/configuration_fetcher.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "core/hash.h"

namespace cassiausher {

ConfigurationFetcher::ConfigurationFetcher(ConfigurationFetcherOptions options)
    : options_(std::move(options)) {}

void ConfigurationFetcher::OnSource(const InstanceId& source,
                                    const DataCentreId& data_centre,
                                    Revision held, Time now) {
  Source& entry = sources_[source];
  entry.data_centre = data_centre;
  entry.held = held;
  entry.heard_at = now;
}

std::optional<FetchedDocument> ConfigurationFetcher::OnChunk(
    const InstanceId& source, const DocumentChunk& chunk) {
  if (!transfer_.has_value() || transfer_->source != source) return {};
  if (!transfer_->requested_at.has_value()) return {};
  if (chunk.version < transfer_->version) return {};
  if (chunk.version > transfer_->version) {
    // The source no longer has the requested document.
    transfer_->version = chunk.version;
    transfer_->data.clear();
  }
  const bool fits = chunk.total_size <= options_.max_compressed_bytes &&
                    chunk.offset == transfer_->data.size() &&
                    !chunk.data.empty();
  // The request times out, and another source is asked.
  if (!fits) return {};
  transfer_->requested_at.reset();
  transfer_->data += chunk.data;
  if (transfer_->data.size() < chunk.total_size) return {};
  FetchedDocument document{transfer_->version, std::move(transfer_->data)};
  transfer_.reset();
  return document;
}

void ConfigurationFetcher::Reject(Revision version) {
  rejected_ = std::max(rejected_, version);
}

std::optional<ChunkRequest> ConfigurationFetcher::NextRequest(Revision applied,
                                                              Time now) {
  CheckTransfer(applied, now);
  if (!transfer_.has_value()) {
    const Revision wanted = NewestHeld(now);
    if (wanted <= std::max(applied, rejected_)) {
      newer_since_.reset();
      return {};
    }
    if (!newer_since_.has_value()) newer_since_ = now;
    if (now - *newer_since_ < options_.settle_time) return {};
    transfer_ =
        Transfer{.source = ChooseSource(wanted, now), .version = wanted};
    newer_since_.reset();
  }
  if (transfer_->requested_at.has_value()) return {};
  transfer_->requested_at = now;
  return ChunkRequest{transfer_->source, transfer_->version,
                      transfer_->data.size()};
}

void ConfigurationFetcher::CheckTransfer(Revision applied, Time now) {
  if (!transfer_.has_value()) return;
  if (transfer_->version <= std::max(applied, rejected_)) {
    transfer_.reset();
    return;
  }
  if (!transfer_->requested_at.has_value()) return;
  if (now - *transfer_->requested_at < options_.request_timeout) return;
  sources_[transfer_->source].failed_at = now;
  transfer_.reset();
}

Revision ConfigurationFetcher::NewestHeld(Time now) const {
  Revision newest{0};
  for (const auto& [instance, source] : sources_) {
    if (now - source.heard_at >= options_.source_lifetime) continue;
    newest = std::max(newest, source.held);
  }
  return newest;
}

InstanceId ConfigurationFetcher::ChooseSource(Revision version,
                                              Time now) const {
  using Rank = std::tuple<bool, bool, std::uint64_t>;
  InstanceId best;
  Rank best_rank;
  for (const auto& [instance, source] : sources_) {
    if (source.held != version) continue;
    if (now - source.heard_at >= options_.source_lifetime) continue;
    const bool sound = !source.failed_at.has_value() ||
                       now - *source.failed_at >= options_.failure_pause;
    const bool near = source.data_centre == options_.data_centre;
    const std::uint64_t hash =
        HashText(instance.value(), HashText(options_.self.value(), 0));
    const Rank rank{sound, near, hash};
    if (!best.empty() && rank <= best_rank) continue;
    best = instance;
    best_rank = rank;
  }
  return best;
}

}  // namespace cassiausher
