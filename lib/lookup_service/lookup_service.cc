#include "lib/lookup_service/lookup_service.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "lib/config/change.h"

namespace applestand {

namespace {

using nlohmann::json;

constexpr Duration kRetryAfter = std::chrono::seconds(1);

bool SameHosts(const std::vector<EntryHost>& a,
               const std::vector<EntryHost>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const EntryHost& x, const EntryHost& y) {
                      return x.host == y.host &&
                             x.http_address == y.http_address;
                    });
}

HttpResponse MakeErrorResponse(int status, const std::string& detail) {
  HttpResponse response = JsonResponse(status, json{{"error", detail}}.dump());
  if (status == 503) {
    const auto seconds =
        std::chrono::duration_cast<std::chrono::seconds>(kRetryAfter).count();
    response.headers.push_back({"Retry-After", std::to_string(seconds)});
  }
  return response;
}

HttpResponse MakeLookupResponse(const LookupResult& result) {
  json hosts = json::array();
  for (const EntryHost& host : result.hosts) {
    hosts.push_back({{"host", host.host.value()},
                     {"address", host.http_address},
                     {"region", host.region.value()}});
  }
  const auto ttl_s =
      std::chrono::duration_cast<std::chrono::seconds>(result.ttl).count();
  HttpResponse response = JsonResponse(
      200, json{{"hosts", std::move(hosts)}, {"ttl_s", ttl_s}}.dump());
  response.headers.push_back(
      {"Cache-Control", "max-age=" + std::to_string(ttl_s)});
  return response;
}

}  // namespace

LookupService::LookupService(StateFollower::Options follower_options,
                             LookupMap::Options map_options,
                             EventLoop& loop,
                             PeerClient& caller)
    : m_map_options(map_options),
      m_follower(
          std::move(follower_options),
          loop,
          caller,
          [](LocalStateFetch&) {},
          [this](const LocalStateReply&) { OnLocalState(); }) {}

void LookupService::OnLocalState() {
  std::vector<EntryHost> hosts;
  for (const HostRecord& host : m_follower.live_hosts()) {
    hosts.push_back({host.host, host.region, host.http_address});
  }
  const ConfigState& config = m_follower.config();
  const std::shared_ptr<const LookupMap> old_map = std::atomic_load(&m_map);
  const bool same_config = old_map && config.version == m_config_version;
  if (same_config && SameHosts(hosts, m_hosts)) {
    return;
  }
  auto blocks = same_config ? old_map->blocks()
                            : std::make_shared<const BlockTable>(config.blocks);
  auto keys = same_config ? old_map->keys()
                          : std::make_shared<const LookupMap::KeyAccounts>(
                                LookupMap::MakeKeyAccounts(config));
  m_config_version = config.version;
  m_hosts = hosts;
  std::atomic_store(
      &m_map, std::shared_ptr<const LookupMap>(std::make_shared<LookupMap>(
                  m_map_options, std::move(blocks), std::move(keys), hosts)));
}

void LookupService::Handle(const HttpRequest& request,
                           const HttpReply& reply) const {
  reply(MakeResponse(request));
}

HttpResponse LookupService::MakeResponse(const HttpRequest& request) const {
  if (request.method != "GET" || PathOf(request) != "/v1/hosts") {
    return MakeErrorResponse(404, "no such resource; ask GET /v1/hosts");
  }
  const std::string client =
      QueryParameter(request, "client").value_or(request.peer);
  Reason reason;
  const auto address = ParseIpv4(client, reason);
  if (!address) {
    return MakeErrorResponse(400, "client: " + reason.text);
  }
  std::optional<KeyId> key;
  if (const auto id = QueryParameter(request, "key")) {
    key = KeyId(*id);
  }
  const std::shared_ptr<const LookupMap> map = std::atomic_load(&m_map);
  if (!map) {
    return MakeErrorResponse(503, "no hosts are known yet");
  }
  const LookupResult result = map->Find(*address, key);
  if (result.hosts.empty()) {
    return MakeErrorResponse(503, "no host is live");
  }
  return MakeLookupResponse(result);
}

}  // namespace applestand
