// Counts the bytes sent to other instances by the kind of message, so that a
// metric tells which kind takes a link.
#ifndef MAIN_SENT_BYTES_BY_KIND_H_
#define MAIN_SENT_BYTES_BY_KIND_H_

#include <fmt/format.h>

#include <cstddef>
#include <map>
#include <string>

#include "core/metrics.h"

namespace cassiausher {

/// `Envelope` is a protobuf message whose oneof `body` holds one message of
/// each kind. Used on one task only.
template <typename Envelope>
class SentBytesByKind {
 public:
  explicit SentBytesByKind(Metrics& metrics) : metrics_(metrics) {}

  void Add(const Envelope& envelope, std::size_t bytes) {
    Counter*& counter = counters_[envelope.body_case()];
    if (counter == nullptr) {
      counter = &metrics_.counter(fmt::format(
          "peer_kind_bytes_sent_total{{kind=\"{}\"}}", KindOf(envelope)));
    }
    counter->Add(bytes);
  }

 private:
  static std::string KindOf(const Envelope& envelope) {
    const auto* field =
        Envelope::descriptor()->FindFieldByNumber(envelope.body_case());
    return field == nullptr ? "none" : std::string(field->name());
  }

  Metrics& metrics_;
  /// By the number of the kind's field.
  std::map<int, Counter*> counters_;
};

}  // namespace cassiausher

#endif  // MAIN_SENT_BYTES_BY_KIND_H_
