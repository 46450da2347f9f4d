#include "lib/quarantine/quarantine.h"

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace applestand {

namespace {

constexpr size_t kMaxDoublings = 6;

void HashPart(XXH3_state_t& state, std::string_view part) {
  // Hashes the length first, so that different splits of the same bytes into
  // parts have different hashes.
  const uint64_t size = part.size();
  XXH3_128bits_update(&state, &size, sizeof size);
  XXH3_128bits_update(&state, part.data(), part.size());
}

}  // namespace

std::string Fingerprint::Hex() const {
  return fmt::format("{:016x}{:016x}", high, low);
}

Fingerprint ComputeFingerprint(const ClientAccountId& account,
                               const std::string& host_name,
                               const HttpRequest& request) {
  XXH3_state_t state;
  XXH3_128bits_reset(&state);
  HashPart(state, request.method);
  HashPart(state, host_name);
  HashPart(state, request.target);
  HashPart(state, request.body);
  const XXH128_hash_t hash = XXH3_128bits_digest(&state);
  return {account, hash.high64, hash.low64};
}

QuarantineOptions ThreeCrashOptions() {
  QuarantineOptions options;
  options.crashes_to_quarantine = 3;
  options.crashes_to_quarantine_always = 4;
  options.quarantine_time = std::chrono::minutes(10);
  return options;
}

Quarantine::Quarantine(QuarantineOptions options) : m_options(options) {}

std::optional<Duration> Quarantine::RemainingTime(
    const Fingerprint& fingerprint,
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

void Quarantine::OnCompleteResponse(const Fingerprint& fingerprint,
                                    TimePoint now) {
  if (Clear(fingerprint, now)) {
    Notify(QuarantineNoticeKind::kCompleted, fingerprint, {}, {});
  }
}

void Quarantine::OnAttemptAborted(const Fingerprint& fingerprint,
                                  const TargetId& target,
                                  TimePoint now) {
  RemoveExpired(now);
  if (const auto crash = m_crashes.find(target);
      crash != m_crashes.end() &&
      crash->second + m_options.correlation_window >= now) {
    AddObservedSuspicion(fingerprint, target, now);
    return;
  }
  m_aborted_attempts.push_back({fingerprint, target, now});
  if (m_aborted_attempts.size() > m_options.max_fingerprints) {
    m_aborted_attempts.pop_front();
  }
}

void Quarantine::OnTargetCrash(const TargetId& target, TimePoint now) {
  RemoveExpired(now);
  m_crashes[target] = now;
  std::deque<AbortedAttempt> others;
  for (AbortedAttempt& attempt : std::exchange(m_aborted_attempts, {})) {
    if (attempt.target == target) {
      AddObservedSuspicion(attempt.fingerprint, target, now);
    } else {
      others.push_back(std::move(attempt));
    }
  }
  m_aborted_attempts = std::move(others);
}

void Quarantine::OnNotice(const QuarantineNotice& notice, TimePoint now) {
  RemoveExpired(now);
  switch (notice.kind) {
    case QuarantineNoticeKind::kSuspected:
      m_crashes.emplace(notice.target, now);
      (void)AddSuspicion(
          notice.fingerprint, notice.target,
          notice.served_before || CompletedRecently(notice.fingerprint, now),
          now);
      break;
    case QuarantineNoticeKind::kQuarantined:
      if (CompletedWithin(m_options.crossing_window, notice.fingerprint, now)) {
        // The peer sent the notice before it learned of the complete response.
        Notify(QuarantineNoticeKind::kCompleted, notice.fingerprint, {}, {});
      } else if (const auto it = m_suspects.find(notice.fingerprint);
                 it == m_suspects.end() || !IsExcused(it->second)) {
        StartQuarantine(notice.fingerprint, notice.remaining, now);
      }
      break;
    case QuarantineNoticeKind::kCompleted:
      (void)Clear(notice.fingerprint, now);
      break;
  }
}

size_t Quarantine::CrashesOf(const Fingerprint& fingerprint) const {
  const auto it = m_suspects.find(fingerprint);
  return it == m_suspects.end() ? 0 : it->second.targets.size();
}

std::vector<QuarantineNotice> Quarantine::Suspicions() const {
  std::vector<QuarantineNotice> notices;
  for (const auto& [fingerprint, suspect] : m_suspects) {
    for (const TargetId& target : suspect.targets) {
      notices.push_back({QuarantineNoticeKind::kSuspected,
                         fingerprint,
                         target,
                         {},
                         suspect.served_before});
    }
  }
  return notices;
}

std::vector<QuarantineNotice> Quarantine::TakeNotices() {
  return std::exchange(m_notices, {});
}

std::vector<Fingerprint> Quarantine::TakeExcused() {
  return std::exchange(m_excused, {});
}

void Quarantine::RemoveExpired(TimePoint now) {
  while (!m_aborted_attempts.empty() &&
         m_aborted_attempts.front().at + m_options.correlation_window < now) {
    m_aborted_attempts.pop_front();
  }
  const Duration crash_lifetime =
      std::max(m_options.correlation_window, m_options.crash_window);
  for (auto it = m_crashes.begin(); it != m_crashes.end();) {
    it =
        it->second + crash_lifetime < now ? m_crashes.erase(it) : std::next(it);
  }
  for (auto it = m_suspects.begin(); it != m_suspects.end();) {
    const TimePoint last =
        std::max(it->second.last_seen,
                 it->second.quarantined_until.value_or(TimePoint()));
    it = last + m_options.suspicion_lifetime < now ? m_suspects.erase(it)
                                                   : std::next(it);
  }
}

bool Quarantine::CompletedWithin(Duration window,
                                 const Fingerprint& fingerprint,
                                 TimePoint now) const {
  const auto it = m_completed.find(fingerprint);
  return it != m_completed.end() && it->second->second + window >= now;
}

void Quarantine::AddObservedSuspicion(const Fingerprint& fingerprint,
                                      const TargetId& target,
                                      TimePoint now) {
  const bool served_before = CompletedRecently(fingerprint, now);
  if (AddSuspicion(fingerprint, target, served_before, now)) {
    m_notices.push_back({QuarantineNoticeKind::kSuspected,
                         fingerprint,
                         target,
                         {},
                         served_before});
  }
}

bool Quarantine::AddSuspicion(const Fingerprint& fingerprint,
                              const TargetId& target,
                              bool served_before,
                              TimePoint now) {
  Suspect& suspect = m_suspects[fingerprint];
  const bool added = suspect.targets.insert(target).second;
  const bool first_served = served_before && !suspect.served_before;
  if (!added && !first_served) {
    return false;
  }
  suspect.served_before |= served_before;
  if (added) {
    suspect.last_seen = now;
    QuarantineIfDue(fingerprint, now);
  }
  ReleaseExcused(now);
  EvictSuspect();
  return true;
}

void Quarantine::QuarantineIfDue(const Fingerprint& fingerprint,
                                 TimePoint now) {
  const Suspect& suspect = m_suspects.at(fingerprint);
  if (!ShouldQuarantine(fingerprint, suspect, now)) {
    return;
  }
  const size_t doublings = std::min(
      suspect.targets.size() - m_options.crashes_to_quarantine, kMaxDoublings);
  const Duration time = m_options.quarantine_time * (1 << doublings);
  StartQuarantine(fingerprint, time, now);
  Notify(QuarantineNoticeKind::kQuarantined, fingerprint, {}, time);
}

bool Quarantine::ShouldQuarantine(const Fingerprint& fingerprint,
                                  const Suspect& suspect,
                                  TimePoint now) const {
  const size_t crashes = suspect.targets.size();
  if (IsExcused(suspect)) {
    return false;
  }
  if (crashes >= m_options.crashes_to_quarantine_always) {
    return true;
  }
  if (crashes < m_options.crashes_to_quarantine ||
      CompletedWithin(m_options.completed_window, fingerprint, now)) {
    return false;
  }
  const size_t all_crashes = static_cast<size_t>(std::count_if(
      m_crashes.begin(), m_crashes.end(), [this, now](const auto& crash) {
        return crash.second + m_options.crash_window >= now;
      }));
  return 2 * crashes >= all_crashes;
}

bool Quarantine::IsExcused(const Suspect& suspect) const {
  if (!suspect.served_before) {
    return false;
  }
  std::set<TargetId> unexplained = suspect.targets;
  for (const auto& [fingerprint, other] : m_suspects) {
    if (other.quarantined_until && !other.served_before &&
        m_completed.count(fingerprint) == 0) {
      for (const TargetId& target : other.targets) {
        unexplained.erase(target);
      }
    }
  }
  return unexplained.size() < suspect.targets.size() &&
         unexplained.size() < m_options.crashes_to_quarantine;
}

void Quarantine::ReleaseExcused(TimePoint now) {
  for (auto& [fingerprint, suspect] : m_suspects) {
    if (suspect.quarantined_until > now && IsExcused(suspect)) {
      suspect.quarantined_until.reset();
      m_excused.push_back(fingerprint);
    }
  }
}

void Quarantine::StartQuarantine(const Fingerprint& fingerprint,
                                 Duration time,
                                 TimePoint now) {
  // A time received from a peer is bounded as well.
  const Duration max_time = m_options.quarantine_time * (1 << kMaxDoublings);
  const TimePoint until = now + std::clamp(time, Duration::zero(), max_time);
  Suspect& suspect = m_suspects[fingerprint];
  suspect.last_seen = std::max(suspect.last_seen, now);
  const TimePoint current = suspect.quarantined_until.value_or(TimePoint());
  m_quarantined_total += current <= now ? 1 : 0;
  suspect.quarantined_until = std::max(current, until);
  EvictSuspect();
}

bool Quarantine::Clear(const Fingerprint& fingerprint, TimePoint now) {
  if (m_options.completed_window == Duration::zero()) {
    return false;
  }
  std::vector<Fingerprint> excused;
  if (const auto it = m_suspects.find(fingerprint);
      it != m_suspects.end() && it->second.quarantined_until) {
    for (const auto& [other, suspect] : m_suspects) {
      if (!(other == fingerprint) && IsExcused(suspect)) {
        excused.push_back(other);
      }
    }
  }
  if (const auto it = m_completed.find(fingerprint); it != m_completed.end()) {
    it->second->second = now;
    m_completed_order.splice(m_completed_order.end(), m_completed_order,
                             it->second);
  } else {
    m_completed_order.emplace_back(fingerprint, now);
    m_completed[fingerprint] = std::prev(m_completed_order.end());
  }
  m_aborted_attempts.erase(
      std::remove_if(m_aborted_attempts.begin(), m_aborted_attempts.end(),
                     [&fingerprint](const AbortedAttempt& attempt) {
                       return attempt.fingerprint == fingerprint;
                     }),
      m_aborted_attempts.end());
  if (m_completed.size() > m_options.max_fingerprints) {
    m_completed.erase(m_completed_order.front().first);
    m_completed_order.pop_front();
  }
  const bool was_suspect = m_suspects.erase(fingerprint) != 0;
  // It explains no crash any more.
  for (const Fingerprint& other : excused) {
    QuarantineIfDue(other, now);
  }
  return was_suspect;
}

void Quarantine::EvictSuspect() {
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
