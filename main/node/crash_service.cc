#include "main/node/crash_service.h"

#include <nlohmann/json.hpp>

#include "core/json_reader.h"
#include "core/log.h"
#include "main/node/leader_calls.h"
#include "servers/crashes/verdict.h"

namespace cassiausher {
namespace {

constexpr Duration kExpiryPeriod = Seconds(1);
constexpr const char* kJson = "application/json";
constexpr int kOk = 200;
constexpr int kNotFound = 404;

}  // namespace

void CrashService::List(HttpExchange& exchange, Time now) const {
  nlohmann::json list = nlohmann::json::array();
  for (const Verdict& verdict : VerdictsOf(evidence_.ActiveCauses(), {})) {
    list.push_back({{"id", ToString(verdict.id)},
                    {"traits", ToString(verdict.cause.traits)},
                    {"crashes", verdict.cause.crashes},
                    {"last_crash_ms_ago",
                     ToMilliseconds(now - verdict.cause.last_crash_at)},
                    {"retry_in_ms", ToMilliseconds(verdict.retry_at - now)}});
  }
  exchange.Respond(kOk, kJson, DumpJson(nlohmann::json{{"verdicts", list}}));
}

void CrashService::Lift(HttpExchange& exchange, std::string_view id, Time now) {
  const auto verdicts = VerdictsOf(evidence_.ActiveCauses(), {});
  const auto parsed = ParseVerdictId(id);
  const Verdict* verdict =
      parsed.has_value() ? FindVerdict(verdicts, *parsed) : nullptr;
  if (verdict == nullptr) {
    RespondControlError(exchange, kNotFound, "verdict",
                        "no verdict has this id");
    return;
  }
  Log(LogLevel::kWarning, "verdict_lifted",
      {{"verdict", ToString(verdict->id)},
       {"traits", ToString(verdict->cause.traits)},
       {"crashes", verdict->cause.crashes}});
  evidence_.Lift(verdict->cause.traits, now);
  exchange.Respond(kOk, kJson, "{}");
}

void CrashService::Tick(Time now) {
  exchange_.Tick(now);
  if (now < next_expiry_) return;
  next_expiry_ = now + kExpiryPeriod;
  evidence_.Expire(now);
}

}  // namespace cassiausher
