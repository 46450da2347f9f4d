#ifndef LIB_TABLE_STORE_FAKE_TABLE_SERVICE_H_
#define LIB_TABLE_STORE_FAKE_TABLE_SERVICE_H_

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "lib/table_store/table_service.h"

namespace applestand {

/// In-memory table that simulates faults of the platform's table service, for
/// tests and for the platform stand-in. Thread-safe.
class FakeTableService : public TableService {
 public:
  enum class Fault {
    kNone,
    /// Every call returns kUnavailable and has no effect.
    kDown,
    /// Transact takes effect, but returns kUnknown. Reads succeed.
    kResponseLost,
    /// Transact has no effect and returns kUnknown. Reads succeed.
    kRequestLost,
  };

  void SetFault(Fault fault);
  /// Returns the number of Transact calls that took effect.
  size_t commits() const;

  [[nodiscard]] TableStatus Transact(
      const std::vector<RowWrite>& writes) override;
  [[nodiscard]] ReadResult Read(const std::vector<std::string>& keys) override;
  [[nodiscard]] ReadResult Scan(const std::string& prefix,
                                const std::string& after,
                                size_t limit) override;

 private:
  // Returns 0 if the row does not exist. Precondition: m_mutex is held.
  RowVersion CurrentVersion(const std::string& key) const;

  mutable std::mutex m_mutex;
  std::map<std::string, Row> m_rows;
  // Last version of every row ever written, including deleted rows, so that a
  // row that is created again does not reuse a version.
  std::map<std::string, RowVersion> m_last_versions;
  Fault m_fault = Fault::kNone;
  size_t m_commits = 0;
};

}  // namespace applestand

#endif  // LIB_TABLE_STORE_FAKE_TABLE_SERVICE_H_
