#include "drivers/client_connection.h"

#include <algorithm>
#include <array>
#include <utility>

#include "drivers/clock.h"

namespace cassiausher {
namespace {

constexpr int kServiceUnavailable = 503;
// What GLib and libsoup hold for an open connection and the message that waits
// on it.
constexpr std::int64_t kConnectionBytes = 9 << 10;
constexpr std::size_t kReadBytes = 8 << 10;
// Limits what one call reads while nothing comes of it.
constexpr int kReadsPerCall = 8;
// A smaller buffer is kept when it is empty.
constexpr std::size_t kKeptBufferBytes = 512;
constexpr const char* kConnectionKey = "cassiausher-connection";

void Release(std::string* buffer) {
  if (buffer->capacity() > kKeptBufferBytes) {
    std::string().swap(*buffer);
  } else {
    buffer->clear();
  }
}

}  // namespace

ClientConnection::ClientConnection(GObjectPtr<GSocket> socket,
                                   GObjectPtr<GIOStream> transport,
                                   const ClientConnectionOptions& options,
                                   Callbacks callbacks)
    : socket_(std::move(socket)),
      transport_(std::move(transport)),
      memory_(options.memory),
      callbacks_(std::move(callbacks)),
      framing_(options.framing) {}

ClientConnection::~ClientConnection() {
  if (output_source_ != nullptr) g_source_unref(output_source_);
  if (!memory_) return;
  memory_->Remove(open_holder_);
  if (held_holder_ != 0) memory_->Remove(held_holder_);
}

bool ClientConnection::ChargeOpen(Time now) {
  if (!memory_) return true;
  open_holder_ = memory_->Add(nullptr, now);
  if (memory_->Grow(open_holder_, kConnectionBytes, now)) return true;
  memory_->Charge(open_holder_, kConnectionBytes);
  return false;
}

bool ClientConnection::HasOutput() const {
  return output_begin_ < output_.size() || framing_.ended() ||
         (!input_.empty() && !needs_more_);
}

void ClientConnection::WatchOutput(GSource* source) {
  if (output_source_ != nullptr) g_source_unref(output_source_);
  output_source_ = g_source_ref(source);
  if (HasOutput()) g_source_set_ready_time(source, 0);
}

gssize ClientConnection::Read(char* buffer, gsize size, GError** error) {
  for (int i = 0; i < kReadsPerCall; ++i) {
    if (output_begin_ < output_.size()) return TakeOutput(buffer, size);
    if (is_truncated_) {
      g_set_error_literal(error, G_IO_ERROR, G_IO_ERROR_PARTIAL_INPUT,
                          "the request isn't complete");
      return -1;
    }
    if (framing_.ended()) return 0;
    if (needs_more_) {
      const gssize received = Receive(error);
      if (received < 0) return -1;
      if (received == 0) {
        OnInputEnd();
        continue;
      }
    }
    Parse(BootTimeNow());
  }
  if (output_begin_ < output_.size()) return TakeOutput(buffer, size);
  g_set_error_literal(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK,
                      "no whole request line or chunk");
  return -1;
}

void ClientConnection::OnInputEnd() {
  is_truncated_ = framing_.in_body();
  if (!is_truncated_) EndInput();
}

gssize ClientConnection::Receive(GError** error) {
  std::array<char, kReadBytes> bytes;
  GError* failure = nullptr;
  const gssize received = g_pollable_input_stream_read_nonblocking(
      G_POLLABLE_INPUT_STREAM(g_io_stream_get_input_stream(transport_.get())),
      bytes.data(), bytes.size(), nullptr, &failure);
  if (received >= 0) {
    input_.append(bytes.data(), static_cast<std::size_t>(received));
    return received;
  }
  const bool waits =
      g_error_matches(failure, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE;
  if (waits || framing_.in_body()) {
    g_propagate_error(error, failure);
    return -1;
  }
  // A reset between two requests ends the connection like any other end.
  g_error_free(failure);
  return 0;
}

void ClientConnection::Parse(Time now) {
  const bool was_between = framing_.between_requests();
  const bool was_in_body = framing_.in_body();
  if (was_between) {
    begun_at_ = now;
    request_bytes_ = 0;
    if (held_holder_ != 0) memory_->OnProgress(held_holder_, now);
  }
  const RequestFraming::Progress progress = framing_.Read(input_, &output_);
  request_bytes_ += static_cast<std::int64_t>(progress.taken);
  needs_more_ = progress.needs_more || progress.taken == input_.size();
  input_.erase(0, progress.taken);
  if (input_.empty()) Release(&input_);
  if (!ChargeHeld(now) && framing_.in_head()) RefuseForMemory();
  if (was_between && framing_.in_head()) callbacks_.on_begun(this);
  if (was_in_body && framing_.ended()) callbacks_.on_body_refused(this);
}

gssize ClientConnection::TakeOutput(char* buffer, gsize size) {
  const std::size_t taken = output_.copy(buffer, size, output_begin_);
  output_begin_ += taken;
  if (output_begin_ < output_.size()) return static_cast<gssize>(taken);
  Release(&output_);
  output_begin_ = 0;
  ChargeHeld(BootTimeNow());
  return static_cast<gssize>(taken);
}

bool ClientConnection::ChargeHeld(Time now) {
  if (!memory_) return true;
  const auto held = [](const std::string& buffer) {
    const std::size_t bytes = buffer.capacity();
    return bytes > kKeptBufferBytes ? static_cast<std::int64_t>(bytes) : 0;
  };
  const std::int64_t more = held(input_) + held(output_) - charged_;
  if (more == 0) return true;
  if (held_holder_ == 0) {
    held_holder_ = memory_->Add(
        [this] {
          if (framing_.in_head()) RefuseForMemory();
        },
        now);
  }
  charged_ += more;
  if (more < 0) {
    memory_->Charge(held_holder_, more);
    return true;
  }
  if (memory_->Grow(held_holder_, more, now)) return true;
  memory_->Charge(held_holder_, more);
  return false;
}

void ClientConnection::RefuseForMemory() {
  RefuseHead({.status = kServiceUnavailable, .text = kNoMemoryText});
}

void ClientConnection::RefuseHead(ReadRefusal refusal) {
  framing_.Refuse(std::move(refusal), &output_);
  DropInput();
}

void ClientConnection::DropInput() {
  std::string().swap(input_);
  // What the library is given instead is short, so that this releases memory.
  ChargeHeld(BootTimeNow());
  if (output_source_ != nullptr) g_source_set_ready_time(output_source_, 0);
}

RequestHead ClientConnection::TakeHead(SoupServerMessage* message) {
  message_ = message;
  return framing_.TakeHead();
}

void ClientConnection::OnMessageEnded() {
  message_ = nullptr;
  const bool is_read = !framing_.has_head() && !framing_.in_body() &&
                       output_begin_ >= output_.size();
  if (!is_read) EndInput();
}

void ClientConnection::EndInput() {
  framing_.End(&output_);
  output_begin_ = 0;
  DropInput();
}

void ClientConnection::OnClosed() {
  if (std::exchange(is_closed_, true)) return;
  callbacks_.on_closed(this);
}

bool ClientConnection::IsIdle() const {
  return !is_closed_ && message_ == nullptr && framing_.between_requests() &&
         input_.empty() && output_begin_ >= output_.size() &&
         g_socket_get_available_bytes(socket_.get()) <= 0;
}

namespace {

using ConnectionPtr = std::shared_ptr<ClientConnection>;

ClientConnection* Attached(gpointer object) {
  gpointer data = g_object_get_data(G_OBJECT(object), kConnectionKey);
  return data == nullptr ? nullptr : static_cast<ConnectionPtr*>(data)->get();
}

void Attach(gpointer object, ConnectionPtr connection) {
  g_object_set_data_full(
      G_OBJECT(object), kConnectionKey,
      new ConnectionPtr(std::move(connection)),
      [](gpointer data) { delete static_cast<ConnectionPtr*>(data); });
}

}  // namespace

ClientConnection* ConnectionOf(SoupServerMessage* message) {
  if (ClientConnection* known = Attached(message)) return known;
  GSocketAddress* address = soup_server_message_get_remote_address(message);
  if (address == nullptr) return nullptr;
  gpointer data = g_object_get_data(G_OBJECT(address), kConnectionKey);
  if (data == nullptr) return nullptr;
  // The library forgets the address when the connection ends.
  Attach(message, *static_cast<ConnectionPtr*>(data));
  return Attached(message);
}

GSocket* SocketOf(SoupServerMessage* message) {
  const ClientConnection* connection = ConnectionOf(message);
  return connection == nullptr ? nullptr : connection->socket();
}

GObjectPtr<GSocketAddress> NewLibraryAddress(ConnectionPtr connection) {
  const GObjectPtr<GSocketAddress> known(
      g_socket_get_remote_address(connection->socket(), nullptr));
  if (!known) return nullptr;
  // Each connection needs an object of its own, which its socket doesn't hold.
  auto* peer = G_INET_SOCKET_ADDRESS(known.get());
  GObjectPtr<GSocketAddress> address(
      g_inet_socket_address_new(g_inet_socket_address_get_address(peer),
                                g_inet_socket_address_get_port(peer)));
  Attach(address.get(), std::move(connection));
  return address;
}

}  // namespace cassiausher
