#ifndef LIB_LIMITS_MESSAGES_H_
#define LIB_LIMITS_MESSAGES_H_

#include <cstdint>
#include <vector>

#include "lib/base/ids.h"
#include "lib/codec/codec.h"

namespace applestand {

/// Ends a loan before it expires: the borrower no longer holds any of its
/// tokens and returns those that it did not spend.
struct LoanSettlement {
  uint64_t loan_id = 0;
  double returned = 0;

  MSGPACK_DEFINE(loan_id, returned)
};

/// Sent by the entry process of one host to that of another host, to borrow
/// tokens of an account, to settle earlier loans, or both.
struct LoanRequest {
  HostId borrower;
  Incarnation borrower_incarnation;
  uint64_t request_id = 0;
  ClientAccountId account;
  /// Number of tokens requested; 0 if the message only settles loans.
  double amount = 0;
  /// The settled loans of `account` were made by this incarnation of the
  /// lender.
  Incarnation lender_incarnation;
  std::vector<LoanSettlement> settled;

  MSGPACK_DEFINE(borrower,
                 borrower_incarnation,
                 request_id,
                 account,
                 amount,
                 lender_incarnation,
                 settled)
};

/// Response to a LoanRequest with an amount. Also sent if nothing is lent;
/// `amount` is then 0.
struct LoanReply {
  HostId lender;
  Incarnation lender_incarnation;
  Incarnation borrower_incarnation;
  uint64_t request_id = 0;
  uint64_t loan_id = 0;
  ClientAccountId account;
  double amount = 0;
  /// Tokens that the lender could lend in addition, and the growth of these in
  /// tokens per second.
  double spare = 0;
  double spare_rate = 0;

  MSGPACK_DEFINE(lender,
                 lender_incarnation,
                 borrower_incarnation,
                 request_id,
                 loan_id,
                 account,
                 amount,
                 spare,
                 spare_rate)
};

}  // namespace applestand

#endif  // LIB_LIMITS_MESSAGES_H_
