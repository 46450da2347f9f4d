#include "lib/ctl/changes.h"

#include <algorithm>
#include <functional>
#include <sstream>
#include <utility>

#include "lib/keys/presented_key.h"
#include "lib/moves/move_advancer.h"

namespace applestand {

namespace {

using Built = std::vector<WantedChange>;

constexpr double kMaxRate = 1e9;
constexpr double kMaxMillis = 24.0 * 3600 * 1000;
constexpr double kPermille = 1000;

/// What a builder works from.
struct Input {
  const CtlArguments& arguments;
  const ConfigState& state;
  const std::string& operand;
  Reason& reason;

  /// The option's number, or `fallback` where it is not given.
  std::optional<double> Number(const char* option,
                               std::optional<double> fallback,
                               double min,
                               double max) const {
    if (!arguments.Has(option) && fallback) {
      return fallback;
    }
    return arguments.Number(option, min, max, reason);
  }
};

struct Command {
  const char* noun;
  const char* verb;
  const char* usage;
  std::function<Built(const Input&)> build;
};

template <class Item>
Built PutItem(Item item) {
  return {{Put<Item>{std::move(item)}, ""}};
}

template <class Item>
Built RemoveItem(const Input& in) {
  return {{Remove<Item>{in.operand}, ""}};
}

/// The existing item, or nothing with the reason.
template <class Map>
const typename Map::mapped_type* FindItem(const Map& map,
                                          const typename Map::key_type& id,
                                          const Input& in) {
  const auto it = map.find(id);
  if (it == map.end()) {
    in.reason.text = "there is no \"" + in.operand + "\"";
    return nullptr;
  }
  return &it->second;
}

Built PutAccount(const Input& in) {
  ClientAccount account;
  account.id = ClientAccountId(in.operand);
  const auto rate = in.Number("rate", std::nullopt, 0, kMaxRate);
  const auto burst = in.Number("burst", std::nullopt, 0, kMaxRate);
  const auto weight = in.Number("weight", 1.0, 0.001, 1000);
  if (!rate || !burst || !weight) {
    return {};
  }
  account.contract = {*rate, *burst, *weight};
  return PutItem(std::move(account));
}

Built GiveKey(const Input& in) {
  Reason& reason = in.reason;
  const auto secret = GenerateSecret(reason);
  if (!secret) {
    return {};
  }
  std::string id = in.arguments.Text("id");
  if (id.empty()) {
    id = in.operand + "-" + Sha256Hex(*secret).substr(0, 8);
  }
  Key key;
  key.id = KeyId(id);
  key.account = ClientAccountId(in.operand);
  key.secret_sha256 = Sha256Hex(*secret);
  return {{Put<Key>{std::move(key)}, id + "." + *secret}};
}

Built PutRoute(const Input& in) {
  Route route;
  route.id = RouteId(in.operand);
  route.path_prefix = in.arguments.Text("prefix");
  route.service = ServiceId(in.arguments.Text("service"));
  route.open = in.arguments.Has("open");
  route.repeatable = in.arguments.Has("repeatable");
  const auto timeout = in.Number("timeout-ms", 10000.0, 1, kMaxMillis);
  if (!timeout) {
    return {};
  }
  route.timeout = std::chrono::milliseconds(static_cast<int64_t>(*timeout));
  return PutItem(std::move(route));
}

Built PutTarget(const Input& in) {
  Target target;
  target.id = TargetId(in.operand);
  target.service = ServiceId(in.arguments.Text("service"));
  target.region = RegionId(in.arguments.Text("region"));
  target.zone = ZoneId(in.arguments.Text("zone"));
  target.address = in.arguments.Text("address");
  const auto slots = in.Number("slots", 1.0, 1, 100000);
  if (!slots) {
    return {};
  }
  target.slots = static_cast<uint32_t>(*slots);
  return PutItem(std::move(target));
}

Built SetTargetLeaving(const Input& in, bool leaving) {
  const Target* found = FindItem(in.state.targets, TargetId(in.operand), in);
  if (found == nullptr) {
    return {};
  }
  Target target = *found;
  target.leaving = leaving;
  return PutItem(std::move(target));
}

Built StartMove(const Input& in) {
  Move move;
  move.id = MoveId(in.operand);
  move.service = ServiceId(in.arguments.Text("service"));
  move.from = RegionId(in.arguments.Text("from"));
  move.to = RegionId(in.arguments.Text("to"));
  const auto step = in.Number("step", 100.0, 1, kPermille);
  const auto goal = in.Number("goal", kPermille, 0, kPermille);
  const auto interval = in.Number("interval-ms", 30000.0, 100, kMaxMillis);
  if (!step || !goal || !interval) {
    return {};
  }
  move.step_permille = static_cast<uint32_t>(*step);
  move.goal_permille = static_cast<uint32_t>(*goal);
  move.step_interval =
      std::chrono::milliseconds(static_cast<int64_t>(*interval));
  return PutItem(std::move(move));
}

Built PauseMove(const Input& in, bool paused) {
  const Move* found = FindItem(in.state.moves, MoveId(in.operand), in);
  if (found == nullptr) {
    return {};
  }
  Move move = *found;
  move.paused = paused;
  return PutItem(std::move(move));
}

Built DrainWholeRegion(const Input& in) {
  const auto step = in.Number("step", 100.0, 1, kPermille);
  const auto interval = in.Number("interval-ms", 30000.0, 100, kMaxMillis);
  if (!step || !interval) {
    return {};
  }
  const auto millis =
      std::chrono::milliseconds(static_cast<int64_t>(*interval));
  Built built;
  for (Move& move : DrainRegion(
           in.state, RegionId(in.operand), RegionId(in.arguments.Text("to")),
           static_cast<uint32_t>(*step), millis, "drain-" + in.operand + "-")) {
    built.push_back({Put<Move>{std::move(move)}, ""});
  }
  if (built.empty()) {
    in.reason.text = "no service can move from \"" + in.operand + "\" to \"" +
                     in.arguments.Text("to") + "\"";
  }
  return built;
}

Built PutBlock(const Input& in) {
  ClientBlock block;
  block.network = in.operand;
  std::istringstream list(in.arguments.Text("regions"));
  for (std::string region; std::getline(list, region, ',');) {
    block.regions.push_back(RegionId(region));
  }
  return PutItem(std::move(block));
}

Built SetSeatCount(const Input& in) {
  char* end = nullptr;
  const auto seats = std::strtoul(in.operand.c_str(), &end, 10);
  if (*end != '\0' || seats == 0 || seats > 10000) {
    in.reason.text = "seats: allowed: a whole number from 1 to 10000";
    return {};
  }
  return {{SetContractShareCount{static_cast<uint32_t>(seats)}, ""}};
}

const std::vector<Command>& Commands() {
  static const std::vector<Command> commands = {
      {"account", "put", "account put ID --rate R --burst N [--weight W]",
       PutAccount},
      {"account", "remove", "account remove ID", RemoveItem<ClientAccount>},
      {"key", "give", "key give ACCOUNT [--id ID]", GiveKey},
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
       [](const Input& in) { return SetTargetLeaving(in, true); }},
      {"target", "readmit", "target readmit ID",
       [](const Input& in) { return SetTargetLeaving(in, false); }},
      {"target", "remove", "target remove ID", RemoveItem<Target>},
      {"move", "start",
       "move start ID --service ID --from ID --to ID [--step N] "
       "[--interval-ms MS] [--goal N]",
       StartMove},
      {"move", "pause", "move pause ID",
       [](const Input& in) { return PauseMove(in, true); }},
      {"move", "resume", "move resume ID",
       [](const Input& in) { return PauseMove(in, false); }},
      {"move", "remove", "move remove ID", RemoveItem<Move>},
      {"region", "drain",
       "region drain ID --to ID [--step N] [--interval-ms MS]",
       DrainWholeRegion},
      {"block", "put", "block put NETWORK --regions LIST", PutBlock},
      {"block", "remove", "block remove NETWORK", RemoveItem<ClientBlock>},
      {"seats", "set", "seats set N", SetSeatCount},
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
  return FindCommand(arguments.words()) != nullptr;
}

std::vector<WantedChange> BuildChanges(const CtlArguments& arguments,
                                       const ConfigState& state,
                                       Reason& reason) {
  const Command* command = FindCommand(arguments.words());
  if (command == nullptr || arguments.words().size() != 3) {
    reason.text = command == nullptr
                      ? "no such command"
                      : std::string("usage: applestandctl ") + command->usage;
    return {};
  }
  return command->build({arguments, state, arguments.words()[2], reason});
}

std::string ChangeCommandsHelp() {
  std::string help;
  for (const Command& command : Commands()) {
    help += std::string("  ") + command.usage + "\n";
  }
  return help;
}

}  // namespace applestand
