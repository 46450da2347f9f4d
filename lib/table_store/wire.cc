#include "lib/table_store/wire.h"

#include <stdexcept>
#include <utility>

#include <nlohmann/json.hpp>

#include "lib/http/message.h"
#include "lib/table_store/base64.h"

namespace applestand {

namespace {

using nlohmann::json;

/// Parses `body` as JSON and converts it. Returns std::nullopt and sets
/// `reason` to the text of the exception if either step throws.
template <class T, class Convert>
std::optional<T> Parse(const std::string& body,
                       Reason& reason,
                       const Convert& convert) {
  try {
    return convert(json::parse(body));
  } catch (const std::exception& error) {
    reason.text = error.what();
    return std::nullopt;
  }
}

json ToJson(const RegisteredHost& host) {
  return {{"host", host.host.value()},
          {"region", host.region.value()},
          {"zone", host.zone.value()},
          {"address", host.address},
          {"state", host.leaving ? "leaving" : "live"}};
}

RegisteredHost HostFromJson(const json& document) {
  RegisteredHost host;
  host.host = HostId(document.at("host").get<std::string>());
  host.region = RegionId(document.at("region").get<std::string>());
  host.zone = ZoneId(document.at("zone").get<std::string>());
  host.address = document.at("address").get<std::string>();
  const std::string state = document.at("state").get<std::string>();
  if (state != "live" && state != "leaving") {
    throw std::invalid_argument("state is neither live nor leaving");
  }
  host.leaving = state == "leaving";
  return host;
}

std::string KeyFromJson(const json& document) {
  return PercentDecode(document.get<std::string>());
}

std::string ValueFromJson(const json& document) {
  const auto value = Base64Decode(document.get<std::string>());
  if (!value) {
    throw std::invalid_argument("a value is not base64");
  }
  return *value;
}

uint64_t UnsignedFromJson(const json& document) {
  if (!document.is_number_unsigned()) {
    throw std::invalid_argument("a number is not a whole number from 0 up");
  }
  return document.get<uint64_t>();
}

RowWrite WriteFromJson(const json& document) {
  RowWrite write;
  write.key = KeyFromJson(document.at("key"));
  write.expected = RowVersion(UnsignedFromJson(document.at("expected")));
  const json& value = document.at("value");
  if (!value.is_null()) {
    write.value = ValueFromJson(value);
  }
  return write;
}

/// Throws std::invalid_argument if `writes` violates the preconditions of
/// TableService::Transact.
void CheckWrites(const std::vector<RowWrite>& writes) {
  if (writes.empty()) {
    throw std::invalid_argument("a transaction has no writes");
  }
  for (size_t i = 0; i < writes.size(); ++i) {
    for (size_t j = 0; j < i; ++j) {
      if (writes[i].key == writes[j].key) {
        throw std::invalid_argument("a transaction names a key twice");
      }
    }
  }
}

}  // namespace

std::string EncodeWrites(const std::vector<RowWrite>& writes) {
  json list = json::array();
  for (const RowWrite& write : writes) {
    json value;
    if (write.value) {
      value = Base64Encode(*write.value);
    }
    list.push_back({{"key", PercentEncode(write.key)},
                    {"expected", write.expected.value()},
                    {"value", std::move(value)}});
  }
  return json{{"writes", std::move(list)}}.dump();
}

std::optional<std::vector<RowWrite>> DecodeWrites(const std::string& body,
                                                  Reason& reason) {
  using Writes = std::vector<RowWrite>;
  return Parse<Writes>(body, reason, [](const json& document) {
    Writes writes;
    for (const json& entry : document.at("writes")) {
      writes.push_back(WriteFromJson(entry));
    }
    CheckWrites(writes);
    return writes;
  });
}

std::string EncodeStatus(TableStatus status) {
  return json{{"status", ToString(status)}}.dump();
}

std::optional<TableStatus> DecodeStatus(const std::string& body,
                                        Reason& reason) {
  return Parse<TableStatus>(body, reason, [](const json& document) {
    const std::string status = document.at("status").get<std::string>();
    if (status == ToString(TableStatus::kOk)) {
      return TableStatus::kOk;
    }
    if (status == ToString(TableStatus::kConflict)) {
      return TableStatus::kConflict;
    }
    throw std::invalid_argument("unknown status");
  });
}

std::string EncodeKeys(const std::vector<std::string>& keys) {
  json list = json::array();
  for (const std::string& key : keys) {
    list.push_back(PercentEncode(key));
  }
  return json{{"keys", std::move(list)}}.dump();
}

std::optional<std::vector<std::string>> DecodeKeys(const std::string& body,
                                                   Reason& reason) {
  using Keys = std::vector<std::string>;
  return Parse<Keys>(body, reason, [](const json& document) {
    Keys keys;
    for (const json& key : document.at("keys")) {
      keys.push_back(KeyFromJson(key));
    }
    return keys;
  });
}

std::string EncodeScan(const ScanRequest& request) {
  return json{{"prefix", PercentEncode(request.prefix)},
              {"after", PercentEncode(request.after)},
              {"limit", request.limit}}
      .dump();
}

std::optional<ScanRequest> DecodeScan(const std::string& body, Reason& reason) {
  return Parse<ScanRequest>(body, reason, [](const json& document) {
    ScanRequest request;
    request.prefix = KeyFromJson(document.at("prefix"));
    request.after = KeyFromJson(document.at("after"));
    request.limit = UnsignedFromJson(document.at("limit"));
    return request;
  });
}

std::string EncodeRows(const std::vector<Row>& rows) {
  json list = json::array();
  for (const Row& row : rows) {
    list.push_back({{"key", PercentEncode(row.key)},
                    {"value", Base64Encode(row.value)},
                    {"version", row.version.value()}});
  }
  return json{{"rows", std::move(list)}}.dump();
}

std::optional<std::vector<Row>> DecodeRows(const std::string& body,
                                           Reason& reason) {
  using Rows = std::vector<Row>;
  return Parse<Rows>(body, reason, [](const json& document) {
    Rows rows;
    for (const json& entry : document.at("rows")) {
      rows.push_back({KeyFromJson(entry.at("key")),
                      ValueFromJson(entry.at("value")),
                      RowVersion(UnsignedFromJson(entry.at("version")))});
    }
    return rows;
  });
}

std::string EncodeHosts(const std::vector<RegisteredHost>& hosts) {
  json list = json::array();
  for (const RegisteredHost& host : hosts) {
    list.push_back(ToJson(host));
  }
  return list.dump();
}

std::optional<std::vector<RegisteredHost>> DecodeHosts(const std::string& body,
                                                       Reason& reason) {
  using Hosts = std::vector<RegisteredHost>;
  return Parse<Hosts>(body, reason, [](const json& document) {
    if (!document.is_array()) {
      throw std::invalid_argument("the host list is not an array");
    }
    Hosts hosts;
    for (const json& entry : document) {
      hosts.push_back(HostFromJson(entry));
    }
    return hosts;
  });
}

std::string EncodeHost(const RegisteredHost& host) {
  return ToJson(host).dump();
}

std::optional<RegisteredHost> DecodeHost(const std::string& body,
                                         Reason& reason) {
  return Parse<RegisteredHost>(body, reason, HostFromJson);
}

}  // namespace applestand
