#include "lib/ctl/changes.h"

#include <algorithm>
#include <functional>
#include <sstream>
#include <utility>

#include "lib/keys/presented_key.h"
#include "lib/moves/move_advancer.h"

namespace applestand {

namespace {

using ChangeRequests = std::vector<ChangeRequest>;

/// In requests per second for a rate, in requests for a burst.
constexpr double kMaxRateOrBurst = 1e9;
constexpr double kMaxDurationMs = 24.0 * 3600 * 1000;
constexpr double kMaxPermille = 1000;

/// Input of the functions that build change requests.
struct CommandInput {
  const CtlArguments& arguments;
  const ConfigState& state;
  /// Third positional argument: the id of the item in most commands.
  const std::string& operand;
  Reason& reason;

  /// Like CtlArguments::ParseNumber, but returns `fallback`, if there is one,
  /// when the option is not given.
  std::optional<double> ParseNumber(const char* option,
                                    std::optional<double> fallback,
                                    double min,
                                    double max) const {
    if (!arguments.Has(option) && fallback) {
      return fallback;
    }
    return arguments.ParseNumber(option, min, max, reason);
  }
};

/// A command that changes the configuration.
struct Command {
  const char* noun;
  const char* verb;
  const char* usage;
  std::function<ChangeRequests(const CommandInput&)> build;
};

template <class Item>
ChangeRequests PutItem(Item item) {
  return {{Put<Item>{std::move(item)}, ""}};
}

template <class Item>
ChangeRequests RemoveItem(const CommandInput& in) {
  return {{Remove<Item>{in.operand}, ""}};
}

/// Returns the item `id`. Returns nullptr and sets the reason if there is none.
template <class Map>
const typename Map::mapped_type* FindItem(const Map& map,
                                          const typename Map::key_type& id,
                                          const CommandInput& in) {
  const auto it = map.find(id);
  if (it == map.end()) {
    in.reason.text = "there is no \"" + in.operand + "\"";
    return nullptr;
  }
  return &it->second;
}

ChangeRequests PutAccount(const CommandInput& in) {
  ClientAccount account;
  account.id = ClientAccountId(in.operand);
  const auto rate = in.ParseNumber("rate", std::nullopt, 0, kMaxRateOrBurst);
  const auto burst = in.ParseNumber("burst", std::nullopt, 0, kMaxRateOrBurst);
  const auto weight = in.ParseNumber("weight", 1.0, 0.001, 1000);
  if (!rate || !burst || !weight) {
    return {};
  }
  account.contract = {*rate, *burst, *weight};
  return PutItem(std::move(account));
}

ChangeRequests IssueKey(const CommandInput& in) {
  Reason& reason = in.reason;
  const auto secret = GenerateSecret(reason);
  if (!secret) {
    return {};
  }
  std::string id = in.arguments.GetString("id");
  if (id.empty()) {
    id = in.operand + "-" + Sha256Hex(*secret).substr(0, 8);
  }
  Key key;
  key.id = KeyId(id);
  key.account = ClientAccountId(in.operand);
  key.secret_sha256 = Sha256Hex(*secret);
  return {{Put<Key>{std::move(key)}, id + "." + *secret}};
}

ChangeRequests PutRoute(const CommandInput& in) {
  Route route;
  route.id = RouteId(in.operand);
  route.path_prefix = in.arguments.GetString("prefix");
  route.service = ServiceId(in.arguments.GetString("service"));
  route.open = in.arguments.Has("open");
  route.repeatable = in.arguments.Has("repeatable");
  const auto timeout = in.ParseNumber("timeout-ms", 10000.0, 1, kMaxDurationMs);
  if (!timeout) {
    return {};
  }
  route.timeout = std::chrono::milliseconds(static_cast<int64_t>(*timeout));
  return PutItem(std::move(route));
}

ChangeRequests PutTarget(const CommandInput& in) {
  Target target;
  target.id = TargetId(in.operand);
  target.service = ServiceId(in.arguments.GetString("service"));
  target.region = RegionId(in.arguments.GetString("region"));
  target.zone = ZoneId(in.arguments.GetString("zone"));
  target.address = in.arguments.GetString("address");
  const auto slots = in.ParseNumber("slots", 1.0, 1, 100000);
  if (!slots) {
    return {};
  }
  target.slots = static_cast<uint32_t>(*slots);
  return PutItem(std::move(target));
}

ChangeRequests SetTargetDraining(const CommandInput& in, bool draining) {
  const Target* found = FindItem(in.state.targets, TargetId(in.operand), in);
  if (found == nullptr) {
    return {};
  }
  Target target = *found;
  target.leaving = draining;
  return PutItem(std::move(target));
}

ChangeRequests StartMove(const CommandInput& in) {
  Move move;
  move.id = MoveId(in.operand);
  move.service = ServiceId(in.arguments.GetString("service"));
  move.from = RegionId(in.arguments.GetString("from"));
  move.to = RegionId(in.arguments.GetString("to"));
  const auto step = in.ParseNumber("step", 100.0, 1, kMaxPermille);
  const auto goal = in.ParseNumber("goal", kMaxPermille, 0, kMaxPermille);
  const auto interval =
      in.ParseNumber("interval-ms", 30000.0, 100, kMaxDurationMs);
  if (!step || !goal || !interval) {
    return {};
  }
  move.step_permille = static_cast<uint32_t>(*step);
  move.goal_permille = static_cast<uint32_t>(*goal);
  move.step_interval =
      std::chrono::milliseconds(static_cast<int64_t>(*interval));
  return PutItem(std::move(move));
}

ChangeRequests SetMovePaused(const CommandInput& in, bool paused) {
  const Move* found = FindItem(in.state.moves, MoveId(in.operand), in);
  if (found == nullptr) {
    return {};
  }
  Move move = *found;
  move.paused = paused;
  return PutItem(std::move(move));
}

ChangeRequests StartRegionDrain(const CommandInput& in) {
  const auto step = in.ParseNumber("step", 100.0, 1, kMaxPermille);
  const auto interval =
      in.ParseNumber("interval-ms", 30000.0, 100, kMaxDurationMs);
  if (!step || !interval) {
    return {};
  }
  const auto step_interval =
      std::chrono::milliseconds(static_cast<int64_t>(*interval));
  ChangeRequests requests;
  for (Move& move : DrainRegion(in.state, RegionId(in.operand),
                                RegionId(in.arguments.GetString("to")),
                                static_cast<uint32_t>(*step), step_interval,
                                "drain-" + in.operand + "-")) {
    requests.push_back({Put<Move>{std::move(move)}, ""});
  }
  if (requests.empty()) {
    in.reason.text = "no service can be moved from \"" + in.operand +
                     "\" to \"" + in.arguments.GetString("to") + "\"";
  }
  return requests;
}

ChangeRequests PutBlock(const CommandInput& in) {
  ClientBlock block;
  block.network = in.operand;
  std::istringstream list(in.arguments.GetString("regions"));
  for (std::string region; std::getline(list, region, ',');) {
    block.regions.push_back(RegionId(region));
  }
  return PutItem(std::move(block));
}

ChangeRequests SetShareCount(const CommandInput& in) {
  char* end = nullptr;
  const auto share_count = std::strtoul(in.operand.c_str(), &end, 10);
  if (*end != '\0' || share_count == 0 || share_count > 10000) {
    in.reason.text = "seats: allowed: a whole number from 1 to 10000";
    return {};
  }
  return {{SetContractShareCount{static_cast<uint32_t>(share_count)}, ""}};
}

const std::vector<Command>& Commands() {
  static const std::vector<Command> commands = {
      {"account", "put", "account put ID --rate R --burst N [--weight W]",
       PutAccount},
      {"account", "remove", "account remove ID", RemoveItem<ClientAccount>},
      {"key", "give", "key give ACCOUNT [--id ID]", IssueKey},
      {"key", "withdraw", "key withdraw ID", RemoveItem<Key>},
      {"route", "put",
       "route put ID --prefix PATH --service ID [--open] [--repeatable]",
       PutRoute},
      {"route", "remove", "route remove ID", RemoveItem<Route>},
      {"target", "put",
       "target put ID --service ID --region ID --zone ID --address IP:PORT "
       "--slots N",
       PutTarget},
      {"target", "drain", "target drain ID",
       [](const CommandInput& in) { return SetTargetDraining(in, true); }},
      {"target", "readmit", "target readmit ID",
       [](const CommandInput& in) { return SetTargetDraining(in, false); }},
      {"target", "remove", "target remove ID", RemoveItem<Target>},
      {"move", "start",
       "move start ID --service ID --from ID --to ID [--step N] "
       "[--interval-ms MS] [--goal N]",
       StartMove},
      {"move", "pause", "move pause ID",
       [](const CommandInput& in) { return SetMovePaused(in, true); }},
      {"move", "resume", "move resume ID",
       [](const CommandInput& in) { return SetMovePaused(in, false); }},
      {"move", "remove", "move remove ID", RemoveItem<Move>},
      {"region", "drain",
       "region drain ID --to ID [--step N] [--interval-ms MS]",
       StartRegionDrain},
      {"block", "put", "block put NETWORK --regions LIST", PutBlock},
      {"block", "remove", "block remove NETWORK", RemoveItem<ClientBlock>},
      {"seats", "set", "seats set N", SetShareCount},
  };
  return commands;
}

const Command* FindCommand(const std::vector<std::string>& words) {
  if (words.size() < 2) {
    return nullptr;
  }
  const auto& commands = Commands();
  const auto it = std::find_if(
      commands.begin(), commands.end(), [&words](const Command& command) {
        return words[0] == command.noun && words[1] == command.verb;
      });
  return it == commands.end() ? nullptr : &*it;
}

}  // namespace

bool IsChangeCommand(const CtlArguments& arguments) {
  return FindCommand(arguments.positional_arguments()) != nullptr;
}

std::vector<ChangeRequest> BuildChanges(const CtlArguments& arguments,
                                        const ConfigState& state,
                                        Reason& reason) {
  const Command* command = FindCommand(arguments.positional_arguments());
  if (command == nullptr || arguments.positional_arguments().size() != 3) {
    reason.text = command == nullptr
                      ? "no such command"
                      : std::string("usage: applestandctl ") + command->usage;
    return {};
  }
  return command->build(
      {arguments, state, arguments.positional_arguments()[2], reason});
}

std::string ChangeCommandsHelp() {
  std::string help;
  for (const Command& command : Commands()) {
    help += std::string("  ") + command.usage + "\n";
  }
  return help;
}

}  // namespace applestand
