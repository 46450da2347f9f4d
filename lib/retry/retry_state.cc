#include "lib/retry/retry_state.h"

#include <algorithm>
#include <cassert>

namespace applestand {

RetryState::RetryState(RetryOptions options,
                       TimePoint deadline,
                       RetryBudget& budget)
    : m_options(options), m_deadline(deadline), m_budget(budget) {}

bool RetryState::CanStartAttempt(TimePoint now) const {
  return !m_decided && now + m_options.min_attempt_time <= m_deadline;
}

bool RetryState::TryHedge(TimePoint now, uint32_t running) {
  return m_options.repeatable && CanStartAttempt(now) &&
         m_attempts + running < m_options.max_attempts &&
         m_unanswered + running < m_options.max_unanswered &&
         m_budget.TryTake();
}

RetryDecision RetryState::OnAttempt(const AttemptResult& result,
                                    TimePoint now,
                                    uint32_t running) {
  assert(!m_decided && "the request is already decided");
  assert((result.sent || result.ran == Ran::kNotRun) &&
         "an attempt that was not sent cannot have run");
  ++(result.sent ? m_attempts : m_unreachable);
  if (!result.target.empty()) {
    m_tried.insert(result.target);
  }
  m_last_retry_after = result.retry_after;
  if (result.ran == Ran::kRan) {
    m_decided = true;
    m_budget.OnSuccess();
    RetryDecision decision;
    decision.kind = RetryDecision::Kind::kReturnResponse;
    decision.ran = Ran::kRan;
    return decision;
  }
  if (result.ran == Ran::kMayHaveRun) {
    ++m_unanswered;
  }
  if (running > 0) {
    RetryDecision decision;
    decision.kind = RetryDecision::Kind::kWait;
    decision.ran = Ran::kMayHaveRun;
    return decision;
  }
  if (m_unanswered > 0) {
    if (!m_options.repeatable) {
      return GiveUp("the request may have run and may not be repeated");
    }
    if (m_unanswered >= m_options.max_unanswered) {
      return GiveUp("no whole answer came");
    }
  }
  if (m_attempts >= m_options.max_attempts) {
    return GiveUp("no attempt is left");
  }
  if (m_unreachable > m_options.max_unreachable) {
    return GiveUp("targets cannot be reached");
  }
  if (!CanStartAttempt(now)) {
    return GiveUp("the deadline has come");
  }
  if (result.sent && !m_budget.TryTake()) {
    return GiveUp("the retry budget is spent");
  }
  RetryDecision decision;
  decision.kind = RetryDecision::Kind::kRetry;
  decision.ran = combined_ran();
  return decision;
}

RetryDecision RetryState::OnCannotSend(Duration retry_after,
                                       const char* reason) {
  assert(!m_decided && "the request is already decided");
  m_last_retry_after = retry_after;
  return GiveUp(reason);
}

RetryDecision RetryState::GiveUp(const char* reason) {
  m_decided = true;
  RetryDecision decision;
  decision.kind = RetryDecision::Kind::kGiveUp;
  decision.ran = combined_ran();
  decision.retry_after = m_last_retry_after > Duration::zero()
                             ? m_last_retry_after
                             : m_options.default_retry_after;
  decision.reason = reason;
  return decision;
}

}  // namespace applestand
