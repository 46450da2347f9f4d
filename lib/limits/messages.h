#ifndef LIB_LIMITS_MESSAGES_H_
#define LIB_LIMITS_MESSAGES_H_

#include <cstdint>
#include <vector>

#include "lib/base/ids.h"
#include "lib/codec/codec.h"

namespace applestand {

/// End of a loan before its life is over: the borrower holds nothing of it any
/// more, and gives back what it did not spend.
struct LoanSettlement {
  uint64_t loan_id = 0;
  double returned = 0;

  MSGPACK_DEFINE(loan_id, returned)
};

/// Entry process to entry process of another host.
struct LoanRequest {
  HostId borrower;
  Incarnation borrower_incarnation;
  uint64_t request_id = 0;
  ClientAccountId account;
  /// Tokens asked for; 0 if the message only settles loans.
  double amount = 0;
  /// Loans of `account` by this incarnation of the lender that are settled.
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

/// Answer to a LoanRequest with an amount; sent also if nothing is lent.
struct LoanReply {
  HostId lender;
  Incarnation lender_incarnation;
  Incarnation borrower_incarnation;
  uint64_t request_id = 0;
  uint64_t loan_id = 0;
  ClientAccountId account;
  double amount = 0;
  /// Tokens that the lender could lend besides, and how fast these grow (1/s).
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
