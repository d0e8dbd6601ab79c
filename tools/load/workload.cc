#include "tools/load/workload.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>

#include "tools/fake_endpoint/answer_text.h"
#include "tools/fake_endpoint/option_reader.h"

namespace cassiausher {
namespace {

using nlohmann::json;

/// Limits the tail of the prompt length distribution, so that requests stay
/// below the usual body size limit.
constexpr double kMaxPromptTokens = 200'000;
constexpr std::size_t kCharactersPerToken = 4;
/// Fraction of prompts that start with one of kSharedPrefixCount prefixes.
constexpr double kSharedPrefixShare = 0.3;
constexpr std::uint64_t kSharedPrefixCount = 8;
constexpr std::size_t kSharedPrefixBytes = 2048;

bool ParseNumber(const std::string& text, double* value) {
  char* end = nullptr;
  *value = std::strtod(text.c_str(), &end);
  return !text.empty() && *end == '\0' && std::isfinite(*value) && *value >= 0;
}

std::vector<Target> ReadTargets(const json& list, const char* url_field) {
  std::vector<Target> targets;
  for (const json& entry : list) {
    targets.push_back({entry.at("name").get<std::string>(),
                       entry.at(url_field).get<std::string>()});
  }
  return targets;
}

/// Text of numbered words that fills prompts up to their length.
const std::string& FillerText() {
  static const std::string& filler = *new std::string([] {
    std::string text;
    const std::size_t size =
        static_cast<std::size_t>(kMaxPromptTokens) * kCharactersPerToken +
        kSharedPrefixCount;
    text.reserve(size);
    for (std::size_t word = 0; text.size() < size; ++word) {
      text += fmt::format("word{} ", word);
    }
    return text;
  }());
  return filler;
}

std::string DrawPrompt(const ServiceLoad& service, const std::string& id,
                       Random& random) {
  std::lognormal_distribution<double> lengths(std::log(service.prompt_median),
                                              service.prompt_sigma);
  const double tokens = std::min(lengths(random.engine()), kMaxPromptTokens);
  const auto size =
      static_cast<std::size_t>(std::max(tokens, 1.0)) * kCharactersPerToken;
  std::string prompt;
  if (size > kSharedPrefixBytes && random.Chance(kSharedPrefixShare)) {
    const std::uint64_t prefix = random.Below(kSharedPrefixCount);
    prompt = fmt::format("prefix {} ", prefix);
    prompt.append(FillerText(), 0, kSharedPrefixBytes - prompt.size());
  }
  prompt += id;
  prompt += ' ';
  if (prompt.size() < size)
    prompt.append(FillerText(), 0, size - prompt.size());
  return prompt;
}

const ServiceLoad& DrawService(const Workload& workload, Random& random) {
  double total = 0;
  for (const ServiceLoad& service : workload.services) total += service.share;
  double drawn = random.Unit() * total;
  for (const ServiceLoad& service : workload.services) {
    drawn -= service.share;
    if (drawn < 0) return service;
  }
  return workload.services.back();
}

void DrawCancel(PlannedRequest* request, Random& random) {
  constexpr std::uint64_t kMaxCancelDelayUs = 500'000;
  constexpr std::uint64_t kMaxCancelTokens = 30;
  if (request->stream && random.Chance(0.5)) {
    request->cancel_after_tokens =
        static_cast<std::int64_t>(1 + random.Below(kMaxCancelTokens));
    return;
  }
  request->cancel_after_us =
      static_cast<std::int64_t>(random.Below(kMaxCancelDelayUs));
}

}  // namespace

Addresses ReadAddresses(const std::string& path, Findings* findings) {
  Addresses addresses;
  std::ifstream file(path);
  if (!file) {
    findings->Add(path, "can't be read");
    return addresses;
  }
  try {
    const json document = json::parse(file);
    addresses.instances = ReadTargets(document.at("instances"), "caller_url");
    addresses.endpoints = ReadTargets(document.at("endpoints"), "url");
    for (const json& endpoint : document.at("endpoints")) {
      Addresses::Service service{endpoint.at("service").get<std::string>(),
                                 endpoint.at("role") == "plain"};
      const bool known = std::any_of(
          addresses.services.begin(), addresses.services.end(),
          [&](const auto& other) { return other.name == service.name; });
      if (!known) addresses.services.push_back(std::move(service));
    }
  } catch (const json::exception& error) {
    findings->Add(path, error.what());
    return addresses;
  }
  if (addresses.instances.empty()) findings->Add(path, "contains no instances");
  if (addresses.services.empty()) findings->Add(path, "contains no services");
  return addresses;
}

void ParseMix(const std::string& text, const Addresses& addresses,
              Workload* workload, Findings* findings) {
  if (text.empty()) {
    for (const Addresses::Service& service : addresses.services) {
      workload->services.push_back(
          {.name = service.name, .plain = service.plain});
    }
    return;
  }
  for (const std::string& part : Split(text, ',')) {
    const std::size_t equals = part.find('=');
    const std::string name = part.substr(0, equals);
    ServiceLoad load{.name = name};
    if (equals == std::string::npos ||
        !ParseNumber(part.substr(equals + 1), &load.share) || load.share == 0) {
      findings->Add("--mix", "'" + part + "' is not SERVICE=SHARE");
      continue;
    }
    const auto service = std::find_if(
        addresses.services.begin(), addresses.services.end(),
        [&](const Addresses::Service& known) { return known.name == name; });
    if (service == addresses.services.end()) {
      findings->Add("--mix", "no endpoint serves '" + name + "'");
      continue;
    }
    load.plain = service->plain;
    workload->services.push_back(std::move(load));
  }
}

void ParsePairs(const std::string& option, const std::string& text,
                void (*set)(ServiceLoad& service, double first, double second),
                Workload* workload, Findings* findings) {
  const bool for_all = text.find('=') == std::string::npos;
  const std::vector<std::string> parts =
      for_all ? std::vector<std::string>{text} : Split(text, ',');
  for (const std::string& part : parts) {
    const std::size_t equals = part.find('=');
    const std::string name = for_all ? "" : part.substr(0, equals);
    const std::string pair =
        equals == std::string::npos ? part : part.substr(equals + 1);
    const std::size_t middle = pair.find(for_all ? ',' : ':');
    double first = 0;
    double second = 0;
    if (middle == std::string::npos ||
        !ParseNumber(pair.substr(0, middle), &first) ||
        !ParseNumber(pair.substr(middle + 1), &second)) {
      findings->Add(option, "'" + part + "' is neither A,B nor SERVICE=A:B");
      continue;
    }
    bool found = false;
    for (ServiceLoad& service : workload->services) {
      if (!for_all && service.name != name) continue;
      set(service, first, second);
      found = true;
    }
    if (!found) findings->Add(option, "the load has no service '" + name + "'");
  }
}

PlannedRequest PlanRequest(const Workload& workload, const std::string& run,
                           std::int64_t number, Random& random) {
  PlannedRequest request;
  request.id = fmt::format("{}-{}", run, number);
  request.service = &DrawService(workload, random);
  request.idempotent = !random.Chance(workload.non_idempotent_share);
  request.retries = random.Chance(workload.retry_share);
  if (!request.idempotent || request.retries) request.key = "k-" + request.id;
  const std::string prompt = DrawPrompt(*request.service, request.id, random);
  if (request.service->plain) {
    request.body = json({{"text", prompt}}).dump();
    request.text_hash = TextHash(request.body);
  } else {
    request.stream = random.Chance(workload.stream_share);
    // The prompt consists of letters, digits, spaces and dashes.
    request.body = fmt::format(
        R"({{"model":"{}","prompt":"{}","max_tokens":{},"stream":{}}})",
        request.service->name, prompt, workload.max_tokens, request.stream);
    request.text_hash = TextHash(prompt);
  }
  if (random.Chance(workload.cancel_share)) DrawCancel(&request, random);
  return request;
}

}  // namespace cassiausher
