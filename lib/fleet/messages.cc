#include "lib/fleet/messages.h"

#include <nlohmann/json.hpp>

namespace applestand {

namespace {

using Json = nlohmann::json;

// Bytes of rows that are not UTF-8 are replaced: such rows name no target.
std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json ToJson(const HostInfo& host) {
  return {{"id", host.id.value()},
          {"incarnation", host.incarnation.value()},
          {"region", host.region.value()},
          {"zone", host.zone.value()},
          {"front", host.front_address},
          {"control", host.control_address},
          {"power", host.power},
          {"leaving", host.leaving},
          {"store_denied", host.store_denied}};
}

HostInfo HostFrom(const Json& json) {
  HostInfo host;
  host.id = HostId(json.at("id").get<std::string>());
  host.incarnation = Incarnation(json.at("incarnation").get<uint64_t>());
  host.region = RegionId(json.at("region").get<std::string>());
  host.zone = ZoneId(json.at("zone").get<std::string>());
  host.front_address = json.at("front").get<std::string>();
  host.control_address = json.at("control").get<std::string>();
  host.power = json.at("power").get<double>();
  host.leaving = json.at("leaving").get<bool>();
  host.store_denied = json.at("store_denied").get<bool>();
  return host;
}

Json ToJson(const std::vector<HostInfo>& hosts) {
  Json out = Json::array();
  for (const HostInfo& host : hosts) {
    out.push_back(ToJson(host));
  }
  return out;
}

std::vector<HostInfo> HostsFrom(const Json& json) {
  std::vector<HostInfo> hosts;
  for (const Json& host : json) {
    hosts.push_back(HostFrom(host));
  }
  return hosts;
}

Json ToJson(const PullReply::Table& table) {
  Json rows = Json::array();
  for (const MirrorRow& row : table.update.rows) {
    rows.push_back({row.key, row.value, row.version.value(), row.removed});
  }
  return {{"known", table.known},
          {"whole", table.update.whole},
          {"rows", std::move(rows)},
          {"version", table.update.version.value()},
          {"age_us", table.age.count()}};
}

PullReply::Table TableFrom(const Json& json) {
  PullReply::Table table;
  table.known = json.at("known").get<bool>();
  table.update.whole = json.at("whole").get<bool>();
  table.update.version = StoreVersion(json.at("version").get<uint64_t>());
  table.age = Duration(json.at("age_us").get<int64_t>());
  for (const Json& row : json.at("rows")) {
    table.update.rows.push_back(
        {row.at(0).get<std::string>(), row.at(1).get<std::string>(),
         StoreVersion(row.at(2).get<uint64_t>()), row.at(3).get<bool>()});
  }
  return table;
}

template <class Message, class Read>
std::optional<Message> Decode(const std::string& text,
                              Reason& reason,
                              const Read& read) {
  try {
    return read(Json::parse(text));
  } catch (const Json::exception& error) {
    reason.text = error.what();
    return std::nullopt;
  }
}

}  // namespace

std::string Encode(const HostInfo& host) {
  return Dump(ToJson(host));
}

std::string Encode(const PullRequest& request) {
  Json have = Json::array();
  for (const StoreVersion version : request.have) {
    have.push_back(version.value());
  }
  return Dump({{"from", ToJson(request.from)},
               {"have", std::move(have)},
               {"live_tag", request.live_tag},
               {"wait_us", request.wait.count()},
               {"seen", ToJson(request.seen)},
               {"notices", request.notices}});
}

std::string Encode(const PullReply& reply) {
  Json tables = Json::array();
  for (const PullReply::Table& table : reply.tables) {
    tables.push_back(ToJson(table));
  }
  Json out = {{"from", ToJson(reply.from)},       {"tables", std::move(tables)},
              {"live_tag", reply.live_tag},       {"counted", reply.counted},
              {"reads_store", reply.reads_store}, {"notices", reply.notices}};
  if (reply.live) {
    out["live"] = ToJson(*reply.live);
  }
  return Dump(out);
}

std::optional<HostInfo> DecodeHost(const std::string& text, Reason& reason) {
  return Decode<HostInfo>(text, reason, HostFrom);
}

std::optional<PullRequest> DecodePullRequest(const std::string& text,
                                             Reason& reason) {
  return Decode<PullRequest>(text, reason, [](const Json& json) {
    PullRequest request;
    request.from = HostFrom(json.at("from"));
    for (size_t i = 0; i < kStoreTables; ++i) {
      request.have[i] = StoreVersion(json.at("have").at(i).get<uint64_t>());
    }
    request.live_tag = json.at("live_tag").get<std::string>();
    request.wait = Duration(json.at("wait_us").get<int64_t>());
    request.seen = HostsFrom(json.at("seen"));
    request.notices = json.at("notices").get<std::vector<std::string>>();
    return request;
  });
}

std::optional<PullReply> DecodePullReply(const std::string& text,
                                         Reason& reason) {
  return Decode<PullReply>(text, reason, [](const Json& json) {
    PullReply reply;
    reply.from = HostFrom(json.at("from"));
    for (size_t i = 0; i < kStoreTables; ++i) {
      reply.tables[i] = TableFrom(json.at("tables").at(i));
    }
    reply.live_tag = json.at("live_tag").get<std::string>();
    reply.counted = json.at("counted").get<uint32_t>();
    reply.notices = json.at("notices").get<std::vector<std::string>>();
    reply.reads_store = json.at("reads_store").get<bool>();
    if (json.contains("live")) {
      reply.live = HostsFrom(json.at("live"));
    }
    return reply;
  });
}

}  // namespace applestand
