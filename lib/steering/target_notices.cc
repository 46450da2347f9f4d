#include "lib/steering/target_notices.h"

#include <algorithm>

namespace applestand {

bool TargetNotices::OnRest(const TargetId& target,
                           Incarnation incarnation,
                           Duration rest,
                           TimePoint now) {
  Notice& notice =
      m_notices.try_emplace(target, Notice{incarnation, now}).first->second;
  if (incarnation < notice.incarnation) {
    return false;
  }
  if (notice.incarnation < incarnation) {
    notice = {incarnation, now};
  }
  const bool was_resting = notice.rest_until > now;
  notice.rest_until = std::max(notice.rest_until, now + rest);
  return !was_resting;
}

std::optional<Duration> TargetNotices::RestLeft(const TargetId& target,
                                                Incarnation incarnation,
                                                TimePoint now) const {
  const auto it = m_notices.find(target);
  if (it == m_notices.end() || it->second.incarnation < incarnation ||
      it->second.rest_until <= now) {
    return std::nullopt;
  }
  return it->second.rest_until - now;
}

size_t TargetNotices::CountResting(TimePoint now) const {
  return std::count_if(
      m_notices.begin(), m_notices.end(),
      [now](const auto& entry) { return entry.second.rest_until > now; });
}

void TargetNotices::Tick(TimePoint now) {
  for (auto it = m_notices.begin(); it != m_notices.end();) {
    it = it->second.rest_until > now ? std::next(it) : m_notices.erase(it);
  }
}

}  // namespace applestand
