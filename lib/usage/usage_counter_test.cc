#include "lib/usage/usage_counter.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "lib/table_store/fake_table_service.h"
#include "lib/usage/usage_keys.h"
#include "lib/usage/usage_report.h"

namespace applestand {
namespace {

using std::chrono::seconds;

const ClientAccountId kAccount("account/1");

/// One incarnation of a host, with a UsageCounter.
class Host {
 public:
  Host(const std::string& id, uint64_t incarnation, FakeTableService& table)
      : m_table(table), m_counter(HostId(id), Incarnation(incarnation), {}) {}

  UsageCounter& counter() { return m_counter; }

  void Run(Duration time) {
    for (const TimePoint end = m_now + time; m_now < end; m_now += seconds(1)) {
      Step(false);
    }
  }

  void Flush() {
    for (int i = 0; i < 20 && !m_counter.IsWritten(); ++i) {
      Step(true);
      m_now += seconds(2);
    }
  }

 private:
  void Step(bool flush) {
    const auto action = m_counter.NextAction(m_now, flush);
    if (!action) {
      return;
    }
    if (action->writes.empty()) {
      m_counter.OnReadResult(m_now, action->id,
                             m_table.Read(action->read_keys));
      return;
    }
    m_counter.OnTransactResult(m_now, action->id,
                               m_table.Transact(action->writes));
  }

  FakeTableService& m_table;
  UsageCounter m_counter;
  TimePoint m_now{std::chrono::hours(1)};
};

Usage ReadAll(FakeTableService& table,
              const ClientAccountId& account = kAccount) {
  Reason reason;
  const auto usage = ReadUsage(table, account, reason);
  REQUIRE_MESSAGE(usage, reason.text);
  return *usage;
}

TEST_CASE("only requests that ran are charged") {
  FakeTableService table;
  Host host("a", 1, table);
  host.counter().Count(kAccount, Ran::kRan);
  host.counter().Count(kAccount, Ran::kNotRun);
  host.counter().Count(kAccount, Ran::kMayHaveRun);
  host.Flush();
  CHECK(ReadAll(table).ran == 1);
  CHECK(ReadAll(table).disputed == 1);
}

TEST_CASE(
    "an account whose id is a prefix of another id is charged separately") {
  FakeTableService table;
  const ClientAccountId prefix("account");
  Host host("a", 1, table);
  host.counter().Count(kAccount, Ran::kRan);
  host.counter().Count(prefix, Ran::kRan);
  host.Flush();
  CHECK(ReadAll(table).ran == 1);
  CHECK(ReadAll(table, prefix).ran == 1);
}

TEST_CASE("usage is summed over incarnations and hosts") {
  FakeTableService table;
  for (const auto& [id, incarnation] :
       {std::pair("a", 1), std::pair("a", 2), std::pair("b", 1)}) {
    Host host(id, static_cast<uint64_t>(incarnation), table);
    host.counter().Count(kAccount, Ran::kRan);
    host.Flush();
  }
  CHECK(ReadAll(table).ran == 3);
}

TEST_CASE("a row that cannot be decoded gives an error, not a partial sum") {
  FakeTableService table;
  REQUIRE(table.Transact({{UsagePrefix(kAccount) + "x", {}, "\xff"}}) ==
          TableStatus::kOk);
  Reason reason;
  CHECK_FALSE(ReadUsage(table, kAccount, reason));
  CHECK_FALSE(reason.text.empty());
}

TEST_CASE("table faults cause no request to be charged twice or lost") {
  rc::detail::TestParams params;
  params.seed = 20240612;
  params.maxSuccess = 500;
  const auto property = [] {
    FakeTableService table;
    Host host("a", 1, table);
    uint64_t ran = 0;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 30)));
    for (const auto& [fault, count] : steps) {
      table.SetFault(static_cast<FakeTableService::Fault>(fault));
      for (int i = 0; i < count; ++i) {
        host.counter().Count(kAccount, Ran::kRan);
        ++ran;
      }
      host.Run(seconds(count));
      table.SetFault(FakeTableService::Fault::kNone);
      Reason reason;
      RC_ASSERT(ReadUsage(table, kAccount, reason)->ran <= ran);
    }
    host.Flush();
    Reason reason;
    RC_ASSERT(ReadUsage(table, kAccount, reason)->ran == ran);
  };
  const auto result =
      rc::detail::checkTestable(property, rc::detail::TestMetadata{}, params);
  std::ostringstream message;
  rc::detail::printResultMessage(result, message);
  INFO(message.str());
  CHECK(result.is<rc::detail::SuccessResult>());
}

}  // namespace
}  // namespace applestand
