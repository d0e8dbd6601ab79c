// Argument parsing, admin requests, output and exit codes of cassiausherctl.
#include "tools/ctl/command.h"

#include <docopt/docopt.h>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <zmq.h>

#include <array>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>

#include "servers/language/statement.h"
#include "tools/ctl/admin_client.h"
#include "tools/ctl/table_format.h"

namespace cassiausher {
namespace {

using Json = nlohmann::json;

constexpr const char* kUsage =
    R"(cassiausherctl: queries and changes a running cassiausher.

Usage:
  cassiausherctl --at URL [--token-file FILE] [--format FORMAT] state
  cassiausherctl --at URL [--token-file FILE] [--format FORMAT] STATEMENT...
  cassiausherctl help [TOPIC]
  cassiausherctl complete [PREFIX]
  cassiausherctl keygen
  cassiausherctl (-h | --help)
  cassiausherctl --version

Options:
  --at URL           Admin URL of any instance, such as http://127.0.0.1:7100.
  --token-file FILE  File with the admin token. Without it, the token is the
                     value of CASSIAUSHER_TOKEN.
  --format FORMAT    table or json [default: table].
  -h --help          Show this text.
  --version          Show the version.

A STATEMENT is a query or a change:
  show requests where late > 200ms order by late limit 20
  change id "c-17" at revision 12 { drain endpoint "r3" }
`cassiausherctl keygen` prints a new pair of CURVE keys as JSON, for
curve_public_key and the file of curve_secret_key_file.
`cassiausherctl help show` and `cassiausherctl help change` describe both.

Exit codes: 0 done, 1 refused, 2 wrong usage or syntax, 3 not reachable.
)";

struct Options {
  std::string url;
  std::string token;
  bool as_json = false;
};

void PrintFindings(const Findings& findings, std::ostream& err) {
  for (const Finding& finding : findings.items()) {
    err << finding.place << ": " << finding.message << "\n";
  }
}

/// Reads the first line of the file without trailing spaces and carriage
/// returns.
std::optional<std::string> ReadToken(const std::string& file) {
  std::ifstream stream(file);
  std::string token;
  if (!std::getline(stream, token)) return std::nullopt;
  while (!token.empty() && (token.back() == '\r' || token.back() == ' ')) {
    token.pop_back();
  }
  return token;
}

class Command {
 public:
  Command(Options options, std::ostream& out, std::ostream& err)
      : options_(std::move(options)),
        client_(options_.url, options_.token),
        out_(out),
        err_(err) {}

  int ShowState() {
    const auto response = ParseResponse(client_.Get("/admin/v1/state"));
    if (!response) return failure_;
    out_ << response->dump(options_.as_json ? -1 : 2) << "\n";
    return kExitDone;
  }

  int Run(const std::string& text) {
    const Statement statement = ParseStatement(text);
    if (const auto* findings = std::get_if<Findings>(&statement)) {
      return ReportSyntaxErrors(*findings);
    }
    if (const auto* help = std::get_if<HelpRequest>(&statement)) {
      out_ << HelpText(help->topic);
      return kExitDone;
    }
    const std::string body = Json{{"text", text}}.dump();
    if (const auto* query = std::get_if<Query>(&statement)) {
      return ShowRows(*query, client_.Post("/admin/v1/query", body));
    }
    return ShowChange(client_.Post("/admin/v1/change", body));
  }

 private:
  int ReportSyntaxErrors(const Findings& findings) {
    if (options_.as_json) {
      Json list = Json::array();
      for (const Finding& finding : findings.items()) {
        list.push_back(
            {{"place", finding.place}, {"message", finding.message}});
      }
      out_ << Json{{"findings", list}}.dump() << "\n";
    }
    PrintFindings(findings, err_);
    return kExitUsage;
  }

  int ShowRows(const Query& query, const AdminResult& result) {
    const auto response = ParseResponse(result);
    if (!response) return failure_;
    if (options_.as_json) {
      out_ << response->dump() << "\n";
      return kExitDone;
    }
    const Json rows = response->value("rows", Json::array());
    if (!rows.is_array()) return ReportUnexpectedResponse();
    out_ << FormatTable(*FindTable(query.table), rows);
    for (const Json& name : response->value("unanswered", Json::array())) {
      out_ << "unanswered: "
           << (name.is_string() ? name.get<std::string>() : name.dump())
           << "\n";
    }
    return kExitDone;
  }

  int ShowChange(const AdminResult& result) {
    const auto response = ParseResponse(result);
    if (!response) return failure_;
    const auto accepted = response->find("accepted");
    if (accepted == response->end() || !accepted->is_boolean()) {
      return ReportUnexpectedResponse();
    }
    const bool is_accepted = accepted->get<bool>();
    if (options_.as_json) out_ << response->dump() << "\n";
    PrintChangeFindings(response->value("findings", Json::array()));
    if (options_.as_json) return is_accepted ? kExitDone : kExitRefused;
    const Json revision = response->value("revision", Json());
    const Json in_force = response->value("in_force", Json(false));
    const char* state = !is_accepted       ? "refused"
                        : in_force == true ? "accepted, in force"
                                           : "accepted, not yet in force "
                                             "everywhere";
    out_ << fmt::format("{}, revision {}\n", state, revision.dump());
    return is_accepted ? kExitDone : kExitRefused;
  }

  void PrintChangeFindings(const Json& findings) {
    for (const Json& finding : findings) {
      if (!finding.is_object()) continue;
      err_ << Text(finding, "place") << ": " << Text(finding, "message")
           << "\n";
    }
  }

  static std::string Text(const Json& object, const char* key) {
    const Json value = object.value(key, Json(""));
    return value.is_string() ? value.get<std::string>() : value.dump();
  }

  /// Returns the JSON object of a successful response; otherwise prints the
  /// reason and sets `failure_`.
  std::optional<Json> ParseResponse(const AdminResult& result) {
    if (const auto* unreachable = std::get_if<Unreachable>(&result)) {
      err_ << "not reachable: " << unreachable->reason << "\n";
      failure_ = kExitUnreachable;
      return std::nullopt;
    }
    const auto& response = std::get<HttpResponse>(result);
    Json body = Json::parse(response.body, nullptr, false);
    if (response.status == 200 && body.is_object()) return body;
    if (response.status == 200) {
      ReportUnexpectedResponse();
      return std::nullopt;
    }
    if (options_.as_json && body.is_object()) out_ << body.dump() << "\n";
    failure_ = kExitRefused;
    err_ << "refused with status " << response.status << Reason(body) << "\n";
    return std::nullopt;
  }

  static std::string Reason(const Json& body) {
    if (!body.is_object()) return "";
    const Json error = body.value("error", Json::object());
    std::string reason;
    if (error.is_object()) reason = Text(error, "message");
    for (const Json& finding : body.value("findings", Json::array())) {
      if (!finding.is_object()) continue;
      reason += fmt::format("\n{}: {}", Text(finding, "place"),
                            Text(finding, "message"));
    }
    return reason.empty() ? "" : ": " + reason;
  }

  int ReportUnexpectedResponse() {
    err_ << "unexpected response: not from the admin API\n";
    failure_ = kExitRefused;
    return failure_;
  }

  Options options_;
  AdminClient client_;
  std::ostream& out_;
  std::ostream& err_;
  int failure_ = kExitRefused;
};

int Complete(const std::string& prefix, std::ostream& out) {
  for (const std::string& word : CompletionWords()) {
    if (word.starts_with(prefix)) out << word << "\n";
  }
  return kExitDone;
}

int GenerateKeys(std::ostream& out, std::ostream& err) {
  // A 32-byte key in Z85 takes 40 characters, plus the terminating null.
  std::array<char, 41> public_key{};
  std::array<char, 41> secret_key{};
  if (zmq_curve_keypair(public_key.data(), secret_key.data()) != 0) {
    err << "libzmq was built without CURVE\n";
    return kExitRefused;
  }
  out << Json{{"public_key", public_key.data()},
              {"secret_key", secret_key.data()}}
             .dump()
      << "\n";
  return kExitDone;
}

std::string OptionalText(const docopt::value& value) {
  return value.isString() ? value.asString() : "";
}

int RunParsed(const std::map<std::string, docopt::value>& arguments,
              const std::string& token, std::ostream& out, std::ostream& err) {
  const auto at = [&](const char* name) -> const docopt::value& {
    return arguments.at(name);
  };
  if (at("help").asBool()) {
    out << HelpText(OptionalText(at("TOPIC")));
    return kExitDone;
  }
  if (at("complete").asBool()) return Complete(OptionalText(at("PREFIX")), out);
  if (at("keygen").asBool()) return GenerateKeys(out, err);
  Options options;
  options.url = OptionalText(at("--at"));
  options.token = token;
  if (at("--token-file").isString()) {
    const auto read = ReadToken(at("--token-file").asString());
    if (!read) {
      err << "can't read a token from " << at("--token-file").asString()
          << "\n";
      return kExitUsage;
    }
    options.token = *read;
  }
  const std::string format = at("--format").asString();
  if (format != "table" && format != "json") {
    err << "--format is table or json, not \"" << format << "\"\n";
    return kExitUsage;
  }
  options.as_json = format == "json";
  Command command(std::move(options), out, err);
  if (at("state").asBool()) return command.ShowState();
  return command.Run(
      fmt::format("{}", fmt::join(at("STATEMENT").asStringList(), " ")));
}

}  // namespace

int RunCommand(const std::vector<std::string>& arguments,
               const std::string& token, std::ostream& out, std::ostream& err) {
  try {
    const auto parsed = docopt::docopt_parse(kUsage, arguments, true, true);
    return RunParsed(parsed, token, out, err);
  } catch (const docopt::DocoptExitHelp&) {
    out << kUsage;
    return kExitDone;
  } catch (const docopt::DocoptExitVersion&) {
    out << "cassiausherctl " << CASSIAUSHER_VERSION << "\n";
    return kExitDone;
  } catch (const docopt::DocoptArgumentError& error) {
    const std::string reason = error.what();
    if (!reason.empty()) err << reason << "\n";
    err << "wrong arguments; see cassiausherctl --help\n";
    return kExitUsage;
  }
}

}  // namespace cassiausher
