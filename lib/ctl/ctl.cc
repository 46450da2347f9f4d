#include "lib/ctl/ctl.h"

#include <cstdlib>
#include <optional>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "lib/config/replica.h"
#include "lib/ctl/api_client.h"
#include "lib/ctl/changes.h"
#include "lib/daemon/daemon.h"
#include "lib/daemon/version.h"
#include "lib/keys/presented_key.h"
#include "lib/settings/host_settings.h"

namespace applestand {

namespace {

using nlohmann::json;

const char kHelp[] =
    "Operates an applestand fleet.\n\n"
    "Commands:\n"
    "  status                      hosts, seats, freshness\n"
    "  config                      the whole configuration\n"
    "  list NOUN                   accounts, keys, routes, targets, moves or "
    "blocks\n"
    "  claim show ACCOUNT KEY      what is known of one idempotency key\n"
    "  usage show ACCOUNT          requests that are charged or in dispute\n"
    "  check FILE                  check a host's settings\n";

const char kExitCodesHelp[] =
    "\nExit codes: 0 done and accepted; 1 failed; 2 wrong use or settings;\n"
    "3 the configuration has changed meanwhile (the current version is told);\n"
    "4 refused as invalid; 5 not done, the store or host is unavailable;\n"
    "6 unknown or not yet confirmed: repeat with the same --change-id\n";

std::string FromEnvironment(const CtlArguments& arguments,
                            const char* option,
                            const char* variable) {
  if (arguments.Has(option)) {
    return arguments.Text(option);
  }
  const char* value = std::getenv(variable);
  return value == nullptr ? std::string() : std::string(value);
}

int ExitCodeOf(int http_status) {
  switch (http_status) {
    case 200:
      return kExitOk;
    case 202:
    case 504:
      return kExitUnknown;
    case 400:
    case 404:
    case 422:
      return kExitRefused;
    case 409:
      return kExitConflict;
    case 503:
      return kExitUnavailable;
    default:
      return kExitFailed;
  }
}

/// One command with where its output goes.
class CommandRunner {
 public:
  CommandRunner(const CtlArguments& arguments,
                std::ostream& out,
                std::ostream& err)
      : m_arguments(arguments),
        m_out(out),
        m_err(err),
        m_api({FromEnvironment(arguments, "api", "APPLESTAND_API"),
               FromEnvironment(arguments, "token", "APPLESTAND_TOKEN")},
              m_client) {}

  int Show(const std::string& target) {
    Reason reason;
    const auto answer = m_api.Get(target, reason);
    if (!answer) {
      m_err << reason.text << "\n";
      return kExitUnavailable;
    }
    Print(answer->body);
    return ExitCodeOf(answer->status);
  }

  int List(const std::string& noun) {
    Reason reason;
    const auto answer = m_api.Get("/v1/config", reason);
    if (!answer || answer->status != 200) {
      m_err << (answer ? answer->body : reason.text) << "\n";
      return kExitUnavailable;
    }
    const json config = json::parse(answer->body, nullptr, false);
    if (!config.contains(noun)) {
      m_err << "list: allowed: accounts, keys, routes, targets, moves, "
               "blocks\n";
      return kExitUsage;
    }
    Print(config[noun].dump());
    return kExitOk;
  }

  int Change() {
    Reason reason;
    const auto state = FetchState(reason);
    if (!state) {
      m_err << reason.text << "\n";
      return kExitUnavailable;
    }
    const std::vector<WantedChange> changes =
        BuildChanges(m_arguments, *state, reason);
    if (changes.empty()) {
      m_err << reason.text << "\n";
      return kExitUsage;
    }
    for (size_t i = 0; i < changes.size(); ++i) {
      if (const int code = Send(changes[i], i); code != kExitOk) {
        return code;
      }
    }
    return kExitOk;
  }

 private:
  std::optional<ConfigState> FetchState(Reason& reason) {
    const auto answer = m_api.Get("/v1/snapshot", reason);
    if (!answer) {
      return std::nullopt;
    }
    if (answer->status != 200) {
      reason.text = answer->body;
      return std::nullopt;
    }
    return DecodeSnapshot(answer->body, reason);
  }

  ChangeId MakeChangeId(size_t index, Reason& reason) {
    std::string id = m_arguments.Text("change-id");
    if (id.empty()) {
      id = "c-" + GenerateSecret(reason).value_or("").substr(0, 16);
    }
    return ChangeId(index == 0 ? id : id + "-" + std::to_string(index));
  }

  int Send(const WantedChange& wanted, size_t index) {
    Reason reason;
    applestand::Change change;
    change.id = MakeChangeId(index, reason);
    change.author = FromEnvironment(m_arguments, "author", "USER");
    if (change.author.empty()) {
      change.author = "operator";
    }
    change.operation = wanted.operation;
    std::optional<uint64_t> expected;
    if (m_arguments.Has("expected")) {
      const auto version = m_arguments.Number("expected", 0, 1e15, reason);
      if (!version) {
        m_err << reason.text << "\n";
        return kExitUsage;
      }
      expected = static_cast<uint64_t>(*version);
    }
    const auto answer = m_api.Append(change, expected, reason);
    if (!answer) {
      m_err << reason.text << "; repeat with --change-id " << change.id
            << " to learn whether it was taken\n";
      return kExitUnknown;
    }
    return Report(change.id, wanted, *answer);
  }

  int Report(const ChangeId& id,
             const WantedChange& wanted,
             const ApiAnswer& answer) {
    json body = json::parse(answer.body, nullptr, false);
    if (!body.is_object()) {
      m_err << "the answer cannot be read\n";
      return kExitFailed;
    }
    body["change_id"] = id.value();
    const int code = ExitCodeOf(answer.status);
    const bool in_log = code == kExitOk || answer.status == 202;
    if (in_log && !wanted.note.empty()) {
      body["key"] = wanted.note;
    }
    Print(body.dump());
    return code;
  }

  void Print(const std::string& text) {
    const json body = json::parse(text, nullptr, false);
    const bool as_json = m_arguments.Text("output") == "json";
    if (as_json || body.is_discarded()) {
      m_out << text << "\n";
      return;
    }
    if (!body.is_object()) {
      m_out << body.dump(2) << "\n";
      return;
    }
    for (const auto& [name, value] : body.items()) {
      m_out << name << ": "
            << (value.is_string() ? value.get<std::string>() : value.dump())
            << "\n";
    }
  }

  const CtlArguments& m_arguments;
  std::ostream& m_out;
  std::ostream& m_err;
  HttpClient m_client;
  ApiClient m_api;
};

int CheckSettings(const std::string& file,
                  std::ostream& out,
                  std::ostream& err) {
  std::vector<std::string> errors;
  if (LoadHostSettings(file, errors)) {
    out << file << ": ok\n";
    return kExitOk;
  }
  for (const std::string& error : errors) {
    err << error << "\n";
  }
  return kExitUsage;
}

}  // namespace

int RunCtl(const CtlArguments& arguments,
           std::ostream& out,
           std::ostream& err) {
  const std::vector<std::string>& words = arguments.words();
  if (arguments.Has("help")) {
    out << kHelp << ChangeCommandsHelp() << "\n"
        << CtlArguments::OptionsHelp() << kExitCodesHelp;
    return kExitOk;
  }
  if (arguments.Has("version")) {
    out << "applestandctl " << kVersion << "\n";
    return kExitOk;
  }
  if (words.size() == 2 && words[0] == "check") {
    return CheckSettings(words[1], out, err);
  }
  CommandRunner runner(arguments, out, err);
  if (words.size() == 1 && words[0] == "status") {
    return runner.Show("/v1/status");
  }
  if (words.size() == 1 && words[0] == "config") {
    return runner.Show("/v1/config");
  }
  if (words.size() == 2 && words[0] == "list") {
    return runner.List(words[1]);
  }
  if (words.size() == 4 && words[0] == "claim" && words[1] == "show") {
    return runner.Show("/v1/claims?account=" + PercentEncode(words[2]) +
                       "&key=" + PercentEncode(words[3]));
  }
  if (words.size() == 3 && words[0] == "usage" && words[1] == "show") {
    return runner.Show("/v1/usage?account=" + PercentEncode(words[2]));
  }
  if (IsChangeCommand(arguments)) {
    return runner.Change();
  }
  err << "applestandctl: no such command; see --help\n";
  return kExitUsage;
}

}  // namespace applestand
