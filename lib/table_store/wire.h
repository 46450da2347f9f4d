#ifndef LIB_TABLE_STORE_WIRE_H_
#define LIB_TABLE_STORE_WIRE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "lib/base/verdict.h"
#include "lib/table_store/host_list.h"
#include "lib/table_store/table_service.h"

// JSON bodies of the requests to the platform's services and of the responses.
// Row keys are percent-encoded and row values base64-encoded, because both may
// hold any bytes. All functions are thread-safe. Decoders return std::nullopt
// and set `reason` if the body is not well-formed.

namespace applestand {

/// Arguments of TableService::Scan.
struct ScanRequest {
  std::string prefix;
  std::string after;
  size_t limit = 0;
};

/// {"writes":[{"key":"..","expected":3,"value":".."|null}]}
std::string EncodeWrites(const std::vector<RowWrite>& writes);
[[nodiscard]] std::optional<std::vector<RowWrite>> DecodeWrites(
    const std::string& body,
    Reason& reason);

/// {"status":"ok"|"conflict"}
std::string EncodeStatus(TableStatus status);
[[nodiscard]] std::optional<TableStatus> DecodeStatus(const std::string& body,
                                                      Reason& reason);

/// {"keys":[".."]}
std::string EncodeKeys(const std::vector<std::string>& keys);
[[nodiscard]] std::optional<std::vector<std::string>> DecodeKeys(
    const std::string& body,
    Reason& reason);

/// {"prefix":"..","after":"..","limit":100}
std::string EncodeScan(const ScanRequest& request);
[[nodiscard]] std::optional<ScanRequest> DecodeScan(const std::string& body,
                                                    Reason& reason);

/// {"rows":[{"key":"..","value":"..","version":3}]}
std::string EncodeRows(const std::vector<Row>& rows);
[[nodiscard]] std::optional<std::vector<Row>> DecodeRows(
    const std::string& body,
    Reason& reason);

/// [{"host":"..","region":"..","zone":"..","address":"..",
///   "state":"live"|"leaving"}]
std::string EncodeHosts(const std::vector<RegisteredHost>& hosts);
[[nodiscard]] std::optional<std::vector<RegisteredHost>> DecodeHosts(
    const std::string& body,
    Reason& reason);

/// One element of the host list, in the format described above.
std::string EncodeHost(const RegisteredHost& host);
[[nodiscard]] std::optional<RegisteredHost> DecodeHost(const std::string& body,
                                                       Reason& reason);

}  // namespace applestand

#endif  // LIB_TABLE_STORE_WIRE_H_
