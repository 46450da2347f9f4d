#include "lib/steering/target_notices.h"

#include <algorithm>
#include <utility>

namespace applestand {

namespace {

// A target that is not known for this long does not come back under the
// incarnation that has said that it leaves.
constexpr Duration kLeavingLifetime = std::chrono::hours(1);

}  // namespace

TargetNotices::Notice* TargetNotices::FindOrAdd(const TargetId& target,
                                                Incarnation incarnation,
                                                TimePoint now) {
  const Notice fresh{incarnation, now, false, now};
  Notice& notice = m_notices.try_emplace(target, fresh).first->second;
  if (incarnation < notice.incarnation) {
    return nullptr;
  }
  if (notice.incarnation < incarnation) {
    notice = fresh;
  }
  notice.seen_at = now;
  return &notice;
}

bool TargetNotices::OnRest(const TargetId& target,
                           Incarnation incarnation,
                           Duration rest,
                           TimePoint now) {
  Notice* notice = FindOrAdd(target, incarnation, now);
  if (notice == nullptr) {
    return false;
  }
  const bool was_resting = notice->rest_until > now;
  notice->rest_until = std::max(notice->rest_until, now + rest);
  return !was_resting;
}

bool TargetNotices::OnLeaving(const TargetId& target,
                              Incarnation incarnation,
                              TimePoint now) {
  Notice* notice = FindOrAdd(target, incarnation, now);
  return notice != nullptr && !std::exchange(notice->leaving, true);
}

bool TargetNotices::IsLeaving(const TargetId& target,
                              Incarnation incarnation) const {
  const auto it = m_notices.find(target);
  return it != m_notices.end() && it->second.leaving &&
         it->second.incarnation >= incarnation;
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

void TargetNotices::Tick(const std::function<bool(const TargetId&)>& known,
                         TimePoint now) {
  for (auto it = m_notices.begin(); it != m_notices.end();) {
    Notice& notice = it->second;
    if (known(it->first)) {
      notice.seen_at = now;
    }
    const bool keeps_leaving =
        notice.leaving && now - notice.seen_at < kLeavingLifetime;
    it = notice.rest_until > now || keeps_leaving ? std::next(it)
                                                  : m_notices.erase(it);
  }
}

}  // namespace applestand
