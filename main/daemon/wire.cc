#include "main/daemon/wire.h"

#include <algorithm>

namespace cassiausher {

proto::RouteRequest ToProto(const RouteRequest& request, Time now) {
  proto::RouteRequest message;
  message.set_id(request.id.value());
  message.set_entry(request.entry.value());
  message.set_service(request.service.value());
  message.set_class_id(request.class_id.value());
  message.set_account(request.account.value());
  message.set_age_us((now - request.arrived).count());
  message.set_prompt_tokens(request.prompt_tokens.value());
  message.set_max_output_tokens(request.max_output_tokens.value());
  for (const std::uint64_t hash : request.prefix_hashes) {
    message.add_prefix_hashes(hash);
  }
  message.set_idempotent(request.idempotent);
  message.set_attempt(request.attempt);
  message.set_delivered_tokens(request.delivered_tokens.value());
  for (const EndpointId& endpoint : request.avoid) {
    message.add_avoid(endpoint.value());
  }
  return message;
}

RouteRequest FromProto(const proto::RouteRequest& message, Time now) {
  RouteRequest request;
  request.id = RequestId(message.id());
  request.entry = InstanceId(message.entry());
  request.service = ServiceId(message.service());
  request.class_id = ClassId(message.class_id());
  request.account = AccountId(message.account());
  request.arrived = now - Duration(std::max<std::int64_t>(message.age_us(), 0));
  request.prompt_tokens =
      Tokens(std::max<std::int64_t>(message.prompt_tokens(), 0));
  request.max_output_tokens =
      Tokens(std::max<std::int64_t>(message.max_output_tokens(), 0));
  request.prefix_hashes.assign(message.prefix_hashes().begin(),
                               message.prefix_hashes().end());
  request.idempotent = message.idempotent();
  request.attempt = message.attempt();
  request.delivered_tokens =
      Tokens(std::max<std::int64_t>(message.delivered_tokens(), 0));
  for (const std::string& endpoint : message.avoid()) {
    request.avoid.emplace_back(endpoint);
  }
  return request;
}

proto::Grant ToProto(const Grant& grant, const PoolAddress& pool, int attempt) {
  proto::Grant message;
  message.set_request(grant.request.value());
  message.set_entry(grant.entry.value());
  message.set_prefill(grant.prefill.value());
  message.set_prefill_url(grant.prefill_url);
  message.set_decode(grant.decode.value());
  message.set_decode_url(grant.decode_url);
  message.set_priority(grant.priority);
  message.set_prefill_timeout_us(grant.prefill_timeout.count());
  message.set_first_token_timeout_us(grant.first_token_timeout.count());
  message.set_between_tokens_timeout_us(grant.between_tokens_timeout.count());
  message.set_epoch(pool.epoch.value());
  message.set_data_centre(pool.data_centre.value());
  message.set_owner(pool.owner.value());
  message.set_service(pool.service.value());
  message.set_attempt(attempt);
  return message;
}

PlacementGranted FromProto(const proto::Grant& message) {
  PlacementGranted granted;
  granted.grant.request = RequestId(message.request());
  granted.grant.entry = InstanceId(message.entry());
  granted.grant.prefill = EndpointId(message.prefill());
  granted.grant.prefill_url = message.prefill_url();
  granted.grant.decode = EndpointId(message.decode());
  granted.grant.decode_url = message.decode_url();
  granted.grant.priority = message.priority();
  granted.grant.prefill_timeout = Duration(message.prefill_timeout_us());
  granted.grant.first_token_timeout =
      Duration(message.first_token_timeout_us());
  granted.grant.between_tokens_timeout =
      Duration(message.between_tokens_timeout_us());
  granted.pool.data_centre = DataCentreId(message.data_centre());
  granted.pool.service = ServiceId(message.service());
  granted.pool.owner = InstanceId(message.owner());
  granted.pool.epoch = Epoch(message.epoch());
  granted.attempt = message.attempt();
  return granted;
}

proto::RouteRefusal ToProto(const RouteRefusal& refusal, int attempt) {
  proto::RouteRefusal message;
  message.set_request(refusal.request.value());
  message.set_entry(refusal.entry.value());
  message.set_reason(static_cast<int>(refusal.reason));
  message.set_retry_after_us(refusal.retry_after.count());
  message.set_attempt(attempt);
  return message;
}

PlacementRefused FromProto(const proto::RouteRefusal& message) {
  PlacementRefused refused;
  refused.refusal.request = RequestId(message.request());
  refused.refusal.entry = InstanceId(message.entry());
  const int highest = static_cast<int>(RefusalReason::kAccountLimit);
  refused.refusal.reason =
      static_cast<RefusalReason>(std::clamp(message.reason(), 0, highest));
  refused.refusal.retry_after = Duration(message.retry_after_us());
  refused.attempt = message.attempt();
  return refused;
}

proto::Progress ToProto(const RequestId& request, const ServiceId& service,
                        const ReportProgress& progress) {
  proto::Progress message;
  message.set_request(request.value());
  message.set_service(service.value());
  message.set_endpoint(progress.endpoint.value());
  message.set_output_tokens(progress.output_tokens.value());
  switch (progress.kind) {
    case FlowProgress::kPrefillFinished:
      message.set_kind(proto::Progress::PREFILL_FINISHED);
      break;
    case FlowProgress::kFirstToken:
      message.set_kind(proto::Progress::FIRST_TOKEN);
      break;
    case FlowProgress::kFinished:
      message.set_kind(proto::Progress::FINISHED);
      break;
    case FlowProgress::kFailed:
      message.set_kind(proto::Progress::FAILED);
      break;
    case FlowProgress::kCancelled:
      message.set_kind(proto::Progress::CANCELLED);
      break;
  }
  return message;
}

EndpointInfo EndpointInfoFromProto(const proto::Announcement& message) {
  EndpointInfo info;
  info.id = EndpointId(message.name());
  info.data_centre = DataCentreId(message.data_centre());
  info.service = ServiceId(message.service());
  info.role = static_cast<EndpointRole>(
      std::clamp(message.role(), 0, static_cast<int>(EndpointRole::kPlain)));
  info.url = message.url();
  info.slots = message.slots();
  info.kv_capacity = Bytes(message.kv_capacity_bytes());
  info.prefill_tokens_per_second = message.prefill_tokens_per_second();
  info.kv_bytes_per_token = Bytes(message.kv_bytes_per_token());
  info.honours_fencing = message.honours_fencing();
  info.incarnation = Incarnation(message.incarnation());
  info.departing = message.departing();
  return info;
}

LoadReport LoadReportFromProto(const proto::Announcement& message) {
  LoadReport report;
  report.endpoint = EndpointId(message.name());
  report.incarnation = Incarnation(message.incarnation());
  report.sequence = message.load().sequence();
  report.age = Duration(std::max<std::int64_t>(message.load().age_us(), 0));
  report.running = message.load().running();
  report.waiting = message.load().waiting();
  report.queued_prompt_tokens = Tokens(message.load().queued_prompt_tokens());
  report.kv_bytes = Bytes(message.load().kv_bytes());
  return report;
}

}  // namespace cassiausher
