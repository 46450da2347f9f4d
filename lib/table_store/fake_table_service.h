#ifndef LIB_TABLE_STORE_FAKE_TABLE_SERVICE_H_
#define LIB_TABLE_STORE_FAKE_TABLE_SERVICE_H_

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "lib/table_store/table_service.h"

namespace applestand {

/// A table in memory with the platform's faults, for tests and the embedded
/// stand-in. Thread-safe.
class FakeTableService : public TableService {
 public:
  enum class Fault {
    kNone,
    /// Refuses every call; nothing takes effect.
    kDown,
    /// Writes take effect, but the caller learns kUnknown.
    kAnswerLost,
    /// Writes do not take effect, and the caller learns kUnknown.
    kRequestLost,
  };

  void SetFault(Fault fault);
  /// Number of Transact calls that took effect.
  size_t commits() const;

  [[nodiscard]] TableStatus Transact(
      const std::vector<RowWrite>& writes) override;
  [[nodiscard]] ReadResult Read(const std::vector<std::string>& keys) override;
  [[nodiscard]] ReadResult Scan(const std::string& prefix,
                                const std::string& after,
                                size_t limit) override;

 private:
  RowVersion VersionOf(const std::string& key) const;

  mutable std::mutex m_mutex;
  std::map<std::string, Row> m_rows;
  // Versions of deleted rows, so that a row made again does not repeat one.
  std::map<std::string, RowVersion> m_tombstones;
  Fault m_fault = Fault::kNone;
  size_t m_commits = 0;
};

}  // namespace applestand

#endif  // LIB_TABLE_STORE_FAKE_TABLE_SERVICE_H_
