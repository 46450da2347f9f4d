#include "lib/node/era_settlement.h"

#include <charconv>

namespace applestand {

std::string FormatEra(StoreEra era) {
  return std::to_string(era.value());
}

StoreEra ParseEraRow(const std::string& value) {
  uint64_t era = 0;
  const char* const end = value.data() + value.size();
  const auto [rest, error] = std::from_chars(value.data(), end, era);
  return error == std::errc() && rest == end ? StoreEra(era) : StoreEra();
}

const char* EraSettlement::FindSettled(const Observation& seen,
                                       TimePoint now) const {
  if (m_era == StoreEra()) {
    return "store-never-restored";
  }
  if (seen.settled_row && *seen.settled_row >= m_era) {
    return "row";
  }
  if (seen.hosts_loaded && !seen.settled_row && !m_has_seen_restore) {
    // No host has run under an earlier era.
    return "no-row";
  }
  if (seen.store_is_behind) {
    return nullptr;
  }
  if (seen.config_written_at > m_first_version) {
    return "operator-wrote";
  }
  return now >= PresumedAt() ? "waited" : nullptr;
}

void EraSettlement::Update(const Observation& seen, TimePoint now) {
  const StoreEra era = seen.operators.era();
  if (!m_has_read || era > m_era) {
    m_has_seen_restore = m_has_read;
    m_has_read = true;
    m_era = era;
    m_era_read_at = now;
    m_first_version = seen.operators;
    m_settled = false;
  }
  if (!m_settled) {
    if (const char* settled_by = FindSettled(seen, now)) {
      m_settled = true;
      m_known_by = m_known_by != nullptr ? m_known_by : settled_by;
    }
  }
  if (m_known_by == nullptr && seen.peers_known_era >= m_era) {
    m_known_by = "peer";
  }
  m_unsettled = m_known_by == nullptr && seen.hosts_loaded;
  const bool row_is_current = seen.settled_row && *seen.settled_row >= m_era;
  m_era_to_write = m_settled && seen.hosts_loaded && !row_is_current
                       ? std::optional(m_era)
                       : std::nullopt;
}

}  // namespace applestand
