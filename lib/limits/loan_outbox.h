#ifndef LIB_LIMITS_LOAN_OUTBOX_H_
#define LIB_LIMITS_LOAN_OUTBOX_H_

#include <cstddef>
#include <utility>
#include <vector>

#include "lib/base/ids.h"
#include "lib/limits/messages.h"

namespace applestand {

/// A loan request and the host to send it to.
struct LoanMessage {
  HostId to;
  LoanRequest request;
};

/// Loan requests that wait to be sent. Requests and settlements of one account
/// to one host that are made in the same round share one message. Not
/// thread-safe.
class LoanOutbox {
 public:
  /// Starts a round for one account.
  void BeginRound() { m_round_start = m_messages.size(); }

  /// Returns the message of this round to `to`; creates it if there is none.
  /// Precondition: all calls of a round name the same account. The reference is
  /// valid until the next call of a method.
  LoanRequest& MessageTo(const HostId& to, const ClientAccountId& account) {
    for (size_t i = m_round_start; i < m_messages.size(); ++i) {
      if (m_messages[i].to == to) {
        return m_messages[i].request;
      }
    }
    LoanMessage message;
    message.to = to;
    message.request.account = account;
    m_messages.push_back(std::move(message));
    return m_messages.back().request;
  }

  /// Returns and removes all messages.
  std::vector<LoanMessage> Take() {
    m_round_start = 0;
    return std::exchange(m_messages, {});
  }

 private:
  std::vector<LoanMessage> m_messages;
  size_t m_round_start = 0;
};

}  // namespace applestand

#endif  // LIB_LIMITS_LOAN_OUTBOX_H_
