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
    "Manages an applestand fleet.\n\n"
    "Commands:\n"
    "  status                      hosts, contract shares (seats), freshness\n"
    "  config                      the complete configuration\n"
    "  list NOUN                   accounts, keys, routes, targets, moves or "
    "blocks\n"
    "  claim show ACCOUNT KEY      state of one idempotency key\n"
    "  usage show ACCOUNT          charged and disputed requests\n"
    "  check FILE                  check a host's settings file\n";

const char kExitCodesHelp[] =
    "\nExit codes:\n"
    "  0  success; a change was accepted\n"
    "  1  failure\n"
    "  2  invalid arguments or settings\n"
    "  3  conflict: the configuration has changed; prints the current version\n"
    "  4  rejected: the request is invalid or the item does not exist\n"
    "  5  not done: the store or the host is unavailable\n"
    "  6  outcome unknown or not yet confirmed: repeat with the "
    "same --change-id\n";

/// Returns the option's value. If it is not given, returns the value of the
/// environment variable, or an empty string if that is not set either.
std::string OptionOrEnvironment(const CtlArguments& arguments,
                                const char* option,
                                const char* variable) {
  if (arguments.Has(option)) {
    return arguments.GetString(option);
  }
  const char* value = std::getenv(variable);
  return value == nullptr ? std::string() : std::string(value);
}

/// Returns the exit code for an HTTP status of the operator API.
int ExitCodeForStatus(int http_status) {
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

/// Runs one command against the operator API and prints its output.
class CommandRunner {
 public:
  CommandRunner(const CtlArguments& arguments,
                std::ostream& out,
                std::ostream& err)
      : m_arguments(arguments),
        m_out(out),
        m_err(err),
        m_api({OptionOrEnvironment(arguments, "api", "APPLESTAND_API"),
               OptionOrEnvironment(arguments, "token", "APPLESTAND_TOKEN")},
              m_client) {}

  /// Prints the response to a GET request for `target`.
  int GetAndPrint(const std::string& target) {
    Reason reason;
    const auto response = m_api.Get(target, reason);
    if (!response) {
      m_err << reason.text << "\n";
      return kExitUnavailable;
    }
    Print(response->body);
    return ExitCodeForStatus(response->status);
  }

  /// Prints the configuration's items of one kind, for example "routes".
  int List(const std::string& noun) {
    Reason reason;
    const auto response = m_api.Get("/v1/config", reason);
    if (!response || response->status != 200) {
      m_err << (response ? response->body : reason.text) << "\n";
      return kExitUnavailable;
    }
    const json config = json::parse(response->body, nullptr, false);
    if (!config.contains(noun)) {
      m_err << "list: allowed: accounts, keys, routes, targets, moves, "
               "blocks\n";
      return kExitUsage;
    }
    Print(config[noun].dump());
    return kExitOk;
  }

  /// Builds the command's changes from the current configuration and sends them
  /// in order. Stops at the first one that is not accepted.
  int RunChangeCommand() {
    Reason reason;
    const auto state = FetchConfig(reason);
    if (!state) {
      m_err << reason.text << "\n";
      return kExitUnavailable;
    }
    const std::vector<ChangeRequest> changes =
        BuildChanges(m_arguments, *state, reason);
    if (changes.empty()) {
      m_err << reason.text << "\n";
      return kExitUsage;
    }
    for (size_t i = 0; i < changes.size(); ++i) {
      if (const int code = SendChange(changes[i], i); code != kExitOk) {
        return code;
      }
    }
    return kExitOk;
  }

 private:
  std::optional<ConfigState> FetchConfig(Reason& reason) {
    const auto response = m_api.Get("/v1/snapshot", reason);
    if (!response) {
      return std::nullopt;
    }
    if (response->status != 200) {
      reason.text = response->body;
      return std::nullopt;
    }
    return DecodeSnapshot(response->body, reason);
  }

  /// Returns the id of the command's change number `index`: --change-id or a
  /// random id, with the index appended to all but the first. A repeated
  /// command with the same --change-id thus uses the same ids.
  ChangeId MakeChangeId(size_t index, Reason& reason) {
    std::string id = m_arguments.GetString("change-id");
    if (id.empty()) {
      id = "c-" + GenerateSecret(reason).value_or("").substr(0, 16);
    }
    return ChangeId(index == 0 ? id : id + "-" + std::to_string(index));
  }

  int SendChange(const ChangeRequest& request, size_t index) {
    Reason reason;
    Change change;
    change.id = MakeChangeId(index, reason);
    change.author = OptionOrEnvironment(m_arguments, "author", "USER");
    if (change.author.empty()) {
      change.author = "operator";
    }
    change.operation = request.operation;
    std::optional<uint64_t> expected;
    if (m_arguments.Has("expected")) {
      const auto version = m_arguments.ParseNumber("expected", 0, 1e15, reason);
      if (!version) {
        m_err << reason.text << "\n";
        return kExitUsage;
      }
      expected = static_cast<uint64_t>(*version);
    }
    const auto response = m_api.Append(change, expected, reason);
    if (!response) {
      m_err << reason.text << "; repeat with --change-id " << change.id
            << " to find out whether the change was accepted\n";
      return kExitUnknown;
    }
    return PrintChangeResult(change.id, request, *response);
  }

  /// Prints the response to a change together with the change id and, if the
  /// change issued a key, the key. Returns the exit code.
  int PrintChangeResult(const ChangeId& id,
                        const ChangeRequest& request,
                        const ApiResponse& response) {
    json body = json::parse(response.body, nullptr, false);
    if (!body.is_object()) {
      m_err << "the response is not a JSON object\n";
      return kExitFailed;
    }
    body["change_id"] = id.value();
    const int code = ExitCodeForStatus(response.status);
    // 202: committed to the log, but not yet confirmed by enough hosts to count
    // as accepted. The key is in the log then, too, and has to be printed.
    const bool committed = code == kExitOk || response.status == 202;
    if (committed && !request.new_key.empty()) {
      body["key"] = request.new_key;
    }
    Print(body.dump());
    return code;
  }

  /// Prints a JSON text unchanged with --output json, otherwise one line per
  /// member of an object.
  void Print(const std::string& text) {
    const json body = json::parse(text, nullptr, false);
    const bool as_json = m_arguments.GetString("output") == "json";
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
  const std::vector<std::string>& words = arguments.positional_arguments();
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
    return runner.GetAndPrint("/v1/status");
  }
  if (words.size() == 1 && words[0] == "config") {
    return runner.GetAndPrint("/v1/config");
  }
  if (words.size() == 2 && words[0] == "list") {
    return runner.List(words[1]);
  }
  if (words.size() == 4 && words[0] == "claim" && words[1] == "show") {
    return runner.GetAndPrint("/v1/claims?account=" + PercentEncode(words[2]) +
                              "&key=" + PercentEncode(words[3]));
  }
  if (words.size() == 3 && words[0] == "usage" && words[1] == "show") {
    return runner.GetAndPrint("/v1/usage?account=" + PercentEncode(words[2]));
  }
  if (IsChangeCommand(arguments)) {
    return runner.RunChangeCommand();
  }
  err << "applestandctl: no such command; see --help\n";
  return kExitUsage;
}

}  // namespace applestand
