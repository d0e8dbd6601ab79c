#include "servers/control/configuration_register.h"

#include <utility>

#include "proto/gen/node.pb.h"

namespace cassiausher {

std::string Encode(const VersionedDocument& document) {
  proto::VersionedDocument message;
  message.set_version(document.version.value());
  message.set_document(document.document);
  return message.SerializeAsString();
}

bool Decode(std::string_view bytes, VersionedDocument* document) {
  proto::VersionedDocument message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  document->version = Revision(message.version());
  document->document = message.document();
  return true;
}

bool ConfigurationRegister::Apply(VersionedDocument document) {
  if (document.version <= current_.version) return false;
  current_ = std::move(document);
  return true;
}

}  // namespace cassiausher
