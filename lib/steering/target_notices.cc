#include "lib/steering/target_notices.h"

#include <algorithm>

namespace applestand {

namespace {

// A target that is not known for this long does not come back under the
// incarnation that has said that it leaves.
constexpr Duration kLeavingLifetime = std::chrono::hours(1);
// Maximum number of rests of one target that are kept; the longest ones are.
constexpr size_t kMaxRests = 8;

}  // namespace

bool TargetNotices::Holds(const Notice& notice,
                          TimePoint sent,
                          const SteeringTarget& target) {
  return target.incarnation <= notice.incarnation ||
         (target.started_at && *target.started_at <= sent);
}

TargetNotices::Notice* TargetNotices::FindOrAdd(const SteeringTarget& sent_to,
                                                TimePoint sent,
                                                TimePoint now) {
  Notice& notice = m_notices[sent_to.id];
  if (sent_to.incarnation < notice.incarnation &&
      !(notice.started_at && *notice.started_at <= sent)) {
    return nullptr;
  }
  if (notice.incarnation < sent_to.incarnation) {
    notice.rests.erase(std::remove_if(notice.rests.begin(), notice.rests.end(),
                                      [&](const Rest& rest) {
                                        return !Holds(notice, rest.sent,
                                                      sent_to);
                                      }),
                       notice.rests.end());
    if (notice.leaving_sent && !Holds(notice, *notice.leaving_sent, sent_to)) {
      notice.leaving_sent.reset();
    }
    notice.incarnation = sent_to.incarnation;
    notice.started_at = sent_to.started_at;
  }
  notice.seen_at = now;
  return &notice;
}

bool TargetNotices::OnRest(const SteeringTarget& sent_to,
                           TimePoint sent,
                           Duration rest,
                           TimePoint now) {
  Notice* notice = FindOrAdd(sent_to, sent, now);
  if (notice == nullptr) {
    return false;
  }
  std::vector<Rest>& rests = notice->rests;
  const bool was_resting =
      std::any_of(rests.begin(), rests.end(),
                  [now](const Rest& earlier) { return earlier.until > now; });
  const Rest added{sent, now + rest};
  // Of two rests the one that was asked for later and lasts longer counts.
  const auto covers = [](const Rest& a, const Rest& b) {
    return a.sent >= b.sent && a.until >= b.until;
  };
  if (std::none_of(rests.begin(), rests.end(),
                   [&](const Rest& other) { return covers(other, added); })) {
    rests.erase(
        std::remove_if(rests.begin(), rests.end(),
                       [&](const Rest& other) { return covers(added, other); }),
        rests.end());
    rests.push_back(added);
  }
  if (rests.size() > kMaxRests) {
    rests.erase(std::min_element(
        rests.begin(), rests.end(),
        [](const Rest& a, const Rest& b) { return a.until < b.until; }));
  }
  return !was_resting;
}

bool TargetNotices::OnLeaving(const SteeringTarget& sent_to,
                              TimePoint sent,
                              TimePoint now) {
  Notice* notice = FindOrAdd(sent_to, sent, now);
  if (notice == nullptr) {
    return false;
  }
  const bool was_leaving = notice->leaving_sent.has_value();
  notice->leaving_sent = std::max(notice->leaving_sent.value_or(sent), sent);
  return !was_leaving;
}

bool TargetNotices::IsLeaving(const SteeringTarget& target) const {
  const auto it = m_notices.find(target.id);
  return it != m_notices.end() && it->second.leaving_sent &&
         Holds(it->second, *it->second.leaving_sent, target);
}

std::optional<Duration> TargetNotices::RestLeft(const SteeringTarget& target,
                                                TimePoint now) const {
  std::optional<Duration> longest;
  if (const auto it = m_notices.find(target.id); it != m_notices.end()) {
    for (const Rest& rest : it->second.rests) {
      if (rest.until > now && Holds(it->second, rest.sent, target)) {
        longest =
            std::max(longest.value_or(Duration::zero()), rest.until - now);
      }
    }
  }
  return longest;
}

size_t TargetNotices::CountResting(TimePoint now) const {
  return std::count_if(
      m_notices.begin(), m_notices.end(), [now](const auto& entry) {
        const std::vector<Rest>& rests = entry.second.rests;
        return std::any_of(rests.begin(), rests.end(), [now](const Rest& rest) {
          return rest.until > now;
        });
      });
}

void TargetNotices::Tick(const std::function<bool(const TargetId&)>& known,
                         TimePoint now) {
  for (auto it = m_notices.begin(); it != m_notices.end();) {
    Notice& notice = it->second;
    if (known(it->first)) {
      notice.seen_at = now;
    }
    if (now - notice.seen_at >= kLeavingLifetime) {
      notice.leaving_sent.reset();
    }
    notice.rests.erase(
        std::remove_if(notice.rests.begin(), notice.rests.end(),
                       [now](const Rest& rest) { return rest.until <= now; }),
        notice.rests.end());
    it = notice.rests.empty() && !notice.leaving_sent ? m_notices.erase(it)
                                                      : std::next(it);
  }
}

}  // namespace applestand
