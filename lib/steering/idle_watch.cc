#include "lib/steering/idle_watch.h"

#include <algorithm>

namespace applestand {

namespace {

// A kept connection that was idle longer may be closed by its target just when
// the next request leaves: targets close them after 10 s and more.
constexpr Duration kMaxRest = std::chrono::seconds(7);
// A connection that rested for at most this part of the rest of a forgotten one
// is taken to be kept still.
constexpr int kSafePart = 4;
constexpr Duration kLeastRest = std::chrono::milliseconds(100);
// Without another forgotten connection the trouble has passed: some seconds in
// which each host meets a few.
constexpr Duration kTroubleLife = std::chrono::seconds(4);

}  // namespace

void IdleWatch::OnForgotten(const ServiceId& service,
                            Duration rested,
                            TimePoint now) {
  const Duration safe = std::max(rested / kSafePart, kLeastRest);
  const auto [it, added] =
      m_troubles.try_emplace(service, Trouble{safe, now + kTroubleLife});
  Trouble& trouble = it->second;
  trouble.max_rest =
      now < trouble.until ? std::min(trouble.max_rest, safe) : safe;
  trouble.until = now + kTroubleLife;
}

Duration IdleWatch::MaxRest(const ServiceId& service,
                            bool repeatable,
                            TimePoint now) const {
  const auto it = m_troubles.find(service);
  if (repeatable || it == m_troubles.end() || now >= it->second.until) {
    return kMaxRest;
  }
  return std::min(it->second.max_rest, kMaxRest);
}

}  // namespace applestand
