#include "lib/quarantine/quarantine.h"

#include <algorithm>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace applestand {

namespace {

constexpr size_t kMaxDoublings = 6;

void HashPart(XXH3_state_t& state, std::string_view part) {
  // The length goes first, so that no two lists of parts hash alike.
  const uint64_t size = part.size();
  XXH3_128bits_update(&state, &size, sizeof size);
  XXH3_128bits_update(&state, part.data(), part.size());
}

}  // namespace

Fingerprint FingerprintOf(const ClientAccountId& account,
                          const HttpRequest& request) {
  XXH3_state_t state;
  XXH3_128bits_reset(&state);
  HashPart(state, request.method);
  HashPart(state, request.target);
  HashPart(state, request.body);
  const XXH128_hash_t hash = XXH3_128bits_digest(&state);
  return {account, hash.high64, hash.low64};
}

Quarantine::Quarantine(QuarantineOptions options) : m_options(options) {}

std::optional<Duration> Quarantine::Check(const Fingerprint& fingerprint,
                                          TimePoint now) {
  const auto it = m_suspects.find(fingerprint);
  if (it == m_suspects.end()) {
    return std::nullopt;
  }
  const std::optional<TimePoint>& until = it->second.quarantined_until;
  if (!until || *until <= now) {
    return std::nullopt;
  }
  return *until - now;
}

void Quarantine::OnAnswered(const Fingerprint& fingerprint, TimePoint now) {
  if (Clear(fingerprint, now)) {
    Notify(QuarantineNoticeKind::kAnswered, fingerprint, {}, {});
  }
}

void Quarantine::OnAttemptCut(const Fingerprint& fingerprint,
                              const TargetId& target,
                              TimePoint now) {
  Forget(now);
  if (const auto death = m_deaths.find(target);
      death != m_deaths.end() && death->second + m_options.join_window >= now) {
    Observed(fingerprint, target, now);
    return;
  }
  m_cuts.push_back({fingerprint, target, now});
  if (m_cuts.size() > m_options.max_fingerprints) {
    m_cuts.pop_front();
  }
}

void Quarantine::OnTargetDeath(const TargetId& target, TimePoint now) {
  Forget(now);
  m_deaths[target] = now;
  std::deque<Cut> others;
  for (Cut& cut : std::exchange(m_cuts, {})) {
    if (cut.target == target) {
      Observed(cut.fingerprint, target, now);
    } else {
      others.push_back(std::move(cut));
    }
  }
  m_cuts = std::move(others);
}

void Quarantine::OnNotice(const QuarantineNotice& notice, TimePoint now) {
  Forget(now);
  switch (notice.kind) {
    case QuarantineNoticeKind::kSuspected:
      m_deaths.emplace(notice.target, now);
      (void)Suspect(notice.fingerprint, notice.target, now);
      break;
    case QuarantineNoticeKind::kQuarantined:
      if (AnsweredWithin(m_options.crossing_window, notice.fingerprint, now)) {
        // The notice crossed the news of an answer.
        Notify(QuarantineNoticeKind::kAnswered, notice.fingerprint, {}, {});
      } else {
        Impose(notice.fingerprint, notice.remaining, now);
      }
      break;
    case QuarantineNoticeKind::kAnswered:
      (void)Clear(notice.fingerprint, now);
      break;
  }
}

std::vector<QuarantineNotice> Quarantine::TakeNotices() {
  return std::exchange(m_notices, {});
}

void Quarantine::Forget(TimePoint now) {
  while (!m_cuts.empty() && m_cuts.front().at + m_options.join_window < now) {
    m_cuts.pop_front();
  }
  const Duration death_life =
      std::max(m_options.join_window, m_options.death_window);
  for (auto it = m_deaths.begin(); it != m_deaths.end();) {
    it = it->second + death_life < now ? m_deaths.erase(it) : std::next(it);
  }
  for (auto it = m_suspects.begin(); it != m_suspects.end();) {
    const TimePoint last =
        std::max(it->second.last_seen,
                 it->second.quarantined_until.value_or(TimePoint()));
    it = last + m_options.suspicion_life < now ? m_suspects.erase(it)
                                               : std::next(it);
  }
}

bool Quarantine::AnsweredWithin(Duration window,
                                const Fingerprint& fingerprint,
                                TimePoint now) const {
  const auto it = m_answered.find(fingerprint);
  return it != m_answered.end() && it->second->second + window >= now;
}

void Quarantine::Observed(const Fingerprint& fingerprint,
                          const TargetId& target,
                          TimePoint now) {
  if (Suspect(fingerprint, target, now)) {
    Notify(QuarantineNoticeKind::kSuspected, fingerprint, target, {});
  }
}

bool Quarantine::Suspect(const Fingerprint& fingerprint,
                         const TargetId& target,
                         TimePoint now) {
  Record& suspect = m_suspects[fingerprint];
  if (!suspect.targets.insert(target).second) {
    return false;
  }
  suspect.last_seen = now;
  if (Guilty(fingerprint, suspect, now)) {
    const size_t doublings = std::min(
        suspect.targets.size() - m_options.deaths_to_quarantine, kMaxDoublings);
    const Duration time = m_options.quarantine_time * (1 << doublings);
    Impose(fingerprint, time, now);
    Notify(QuarantineNoticeKind::kQuarantined, fingerprint, {}, time);
  }
  MakeRoom();
  return true;
}

bool Quarantine::Guilty(const Fingerprint& fingerprint,
                        const Record& suspect,
                        TimePoint now) const {
  const size_t deaths = suspect.targets.size();
  if (deaths >= m_options.deaths_to_quarantine_always) {
    return true;
  }
  if (deaths < m_options.deaths_to_quarantine ||
      AnsweredWithin(m_options.answered_window, fingerprint, now)) {
    return false;
  }
  const size_t all_deaths = static_cast<size_t>(std::count_if(
      m_deaths.begin(), m_deaths.end(), [this, now](const auto& death) {
        return death.second + m_options.death_window >= now;
      }));
  return 2 * deaths >= all_deaths;
}

void Quarantine::Impose(const Fingerprint& fingerprint,
                        Duration time,
                        TimePoint now) {
  // A peer's word is bounded too.
  const Duration longest = m_options.quarantine_time * (1 << kMaxDoublings);
  const TimePoint until = now + std::clamp(time, Duration::zero(), longest);
  Record& suspect = m_suspects[fingerprint];
  suspect.last_seen = std::max(suspect.last_seen, now);
  const TimePoint current = suspect.quarantined_until.value_or(TimePoint());
  m_quarantined_total += current <= now ? 1 : 0;
  suspect.quarantined_until = std::max(current, until);
  MakeRoom();
}

bool Quarantine::Clear(const Fingerprint& fingerprint, TimePoint now) {
  if (m_options.answered_window == Duration::zero()) {
    return false;
  }
  if (const auto it = m_answered.find(fingerprint); it != m_answered.end()) {
    it->second->second = now;
    m_answered_order.splice(m_answered_order.end(), m_answered_order,
                            it->second);
  } else {
    m_answered_order.emplace_back(fingerprint, now);
    m_answered[fingerprint] = std::prev(m_answered_order.end());
  }
  if (m_answered.size() > m_options.max_fingerprints) {
    m_answered.erase(m_answered_order.front().first);
    m_answered_order.pop_front();
  }
  return m_suspects.erase(fingerprint) != 0;
}

void Quarantine::MakeRoom() {
  if (m_suspects.size() <= m_options.max_fingerprints) {
    return;
  }
  const auto oldest = std::min_element(
      m_suspects.begin(), m_suspects.end(), [](const auto& a, const auto& b) {
        return a.second.last_seen < b.second.last_seen;
      });
  m_suspects.erase(oldest);
}

void Quarantine::Notify(QuarantineNoticeKind kind,
                        const Fingerprint& fingerprint,
                        const TargetId& target,
                        Duration remaining) {
  m_notices.push_back({kind, fingerprint, target, remaining});
}

}  // namespace applestand
