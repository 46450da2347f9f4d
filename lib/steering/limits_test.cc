#include <doctest/doctest.h>

#include <deque>
#include <vector>

#include "lib/base/fixed_seed_check.h"
#include "lib/steering/limit_bank.h"

namespace applestand {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kRate = 20;
constexpr double kBurst = 20;

ServingAccount Account() {
  ServingAccount account;
  account.id = ClientAccountId("a");
  account.rate = kRate;
  account.burst = kBurst;
  return account;
}

ServingAccounts Accounts() {
  return {{ClientAccountId("a"), Account()}};
}

/// Whether some window of 5 s holds more grants than the operators allow.
class WindowOracle {
 public:
  void Add(uint32_t count, TimePoint now) {
    for (uint32_t i = 0; i < count; ++i) {
      m_grants.push_back(now);
    }
    while (!m_grants.empty() && now - m_grants.front() >= seconds(5)) {
      m_grants.pop_front();
    }
    m_most = std::max(m_most, m_grants.size());
  }
  size_t most() const { return m_most; }
  static constexpr double kBound = (kRate * 5 + kBurst) * 1.1 + 20;

 private:
  std::deque<TimePoint> m_grants;
  size_t m_most = 0;
};

}  // namespace

TEST_CASE("a share begins empty and fills at its part of the rate") {
  ShareLimiter limiter{ShareBounds()};
  TimePoint now{std::chrono::hours(1)};
  limiter.SetPart(0.5, now);
  limiter.Prepare(Accounts(), now);
  CHECK(limiter.Take(Account(), 1, now) == 0);
  CHECK(limiter.WaitFor(Account(), now) > Duration::zero());
  CHECK(limiter.WaitFor(Account(), now) < milliseconds(120));
  now += seconds(1);
  const uint32_t taken = limiter.Take(Account(), 1000, now);
  CHECK(taken >= 10);
  CHECK(taken <= 11);
  limiter.GiveBack(ClientAccountId("a"));
  CHECK(limiter.Take(Account(), 1000, now) == 1);
}

TEST_CASE("hosts that take all they can stay within the bound, restarts too") {
  constexpr int kHosts = 4;
  TimePoint now{std::chrono::hours(1)};
  std::deque<ShareLimiter> hosts(kHosts, ShareLimiter{ShareBounds()});
  for (ShareLimiter& host : hosts) {
    host.SetPart(1.0 / kHosts, now);
    host.Prepare(Accounts(), now);
  }
  WindowOracle oracle;
  for (int step = 0; step < 3000; ++step) {
    now += milliseconds(10);
    for (int i = 0; i < kHosts; ++i) {
      // Idle for a while, then at full load, with all hosts restarted at once.
      if (step > 800) {
        oracle.Add(hosts[i].Take(Account(), 100, now), now);
      }
    }
    if (step == 1500) {
      hosts.clear();
      for (int i = 0; i < kHosts; ++i) {
        hosts.emplace_back(ShareBounds());
        hosts.back().SetPart(1.0 / kHosts, now);
        hosts.back().Prepare(Accounts(), now);
      }
    }
  }
  CHECK(oracle.most() <= WindowOracle::kBound);
  CHECK(oracle.most() >= kRate * 5);
}

TEST_CASE("small accounts over many hosts are served out of the pool") {
  // The pattern of 90 hosts and accounts of 20 requests a second: a host's own
  // share holds less than one request, and requests come anywhere.
  constexpr int kHosts = 30;
  TimePoint now{std::chrono::hours(1)};
  LimitBank bank(ShareBounds(), HostId("bank"), Incarnation(1));
  bank.SetHosts(kHosts);
  bank.Prepare(Accounts(), now);
  uint32_t asked = 0;
  uint32_t granted = 0;
  for (int step = 0; step < 2000; ++step) {
    now += milliseconds(10);
    for (int host = 1; host < kHosts; ++host) {
      bank.OnPledge(HostId("h" + std::to_string(host)), bank.Stamp(now), now);
    }
    // 12 requests a second, 0.6 of the contract, in small clumps.
    if (step > 200 && step % 25 == 0) {
      asked += 3;
      granted += bank.Take(Account(), 3, now);
    }
  }
  CHECK(granted == asked);
}

TEST_CASE("a pledge is void for other banks, other runs and old stamps") {
  const TimePoint now{std::chrono::hours(1)};
  LimitBank bank(ShareBounds(), HostId("bank"), Incarnation(2));
  bank.OnPledge(
      HostId("h"),
      {HostId("other"), Incarnation(2), now.time_since_epoch().count()}, now);
  bank.OnPledge(
      HostId("h"),
      {HostId("bank"), Incarnation(1), now.time_since_epoch().count()}, now);
  bank.OnPledge(HostId("h"), bank.Stamp(now - BankRules::kPledge), now);
  CHECK(bank.Pledged(now) == 1);
  bank.OnPledge(HostId("h"), bank.Stamp(now), now);
  CHECK(bank.Pledged(now) == 2);
  CHECK(bank.Pledged(now + BankRules::kPledge) == 1);
  bank.OnPledge(HostId("h"), bank.Stamp(now), now);
  bank.Close(now);
  CHECK(bank.Pledged(now) == 1);
}

TEST_CASE("a share is left to one bank at a time") {
  TimePoint now{std::chrono::hours(1)};
  LimitPledge pledge;
  CHECK_FALSE(pledge.Pledge(HostId("a"), now).has_value());
  pledge.OnStamp({HostId("a"), Incarnation(1), 5}, now);
  CHECK(pledge.Pledge(HostId("a"), now).has_value());
  CHECK(pledge.Pledged(now));
  pledge.OnStamp({HostId("b"), Incarnation(1), 9}, now);
  CHECK_FALSE(pledge.Pledge(HostId("b"), now).has_value());
  now += BankRules::kPledge;
  CHECK_FALSE(pledge.Pledged(now));
  pledge.OnStamp({HostId("b"), Incarnation(1), 9}, now);
  CHECK(pledge.Pledge(HostId("b"), now).has_value());
  pledge.OnReleased(HostId("b"));
  CHECK_FALSE(pledge.Pledged(now));
}

TEST_CASE("no delay, loss or change of bank lets hosts pass the bound") {
  constexpr uint64_t kSeed = 4242;
  constexpr int kHosts = 5;
  CHECK(FixedSeedCheck(
      kSeed, 60, 400, [](const std::vector<unsigned char>& choices) {
        struct Message {
          int host;
          int bank;
          BankStamp stamp;
          TimePoint due;
        };
        TimePoint now{std::chrono::hours(1)};
        std::vector<LimitBank> banks;
        std::vector<LimitPledge> pledges(kHosts);
        std::vector<ShareLimiter> own(kHosts, ShareLimiter{ShareBounds()});
        for (int i = 0; i < 2; ++i) {
          banks.emplace_back(ShareBounds(), HostId("h" + std::to_string(i)),
                             Incarnation(1));
          banks[i].SetHosts(kHosts);
          banks[i].Prepare(Accounts(), now);
        }
        for (ShareLimiter& share : own) {
          share.SetPart(1.0 / kHosts, now);
          share.Prepare(Accounts(), now);
        }
        std::vector<Message> to_bank;
        std::vector<Message> to_host;
        WindowOracle oracle;
        size_t next = 0;
        const auto choose = [&](unsigned limit) {
          return choices.empty() ? 0U
                                 : choices[next++ % choices.size()] % limit;
        };
        for (int step = 0; step < 400; ++step) {
          now += milliseconds(50);
          for (int host = 0; host < kHosts; ++host) {
            const int bank = step / 100 % 2;
            // Hosts 0 and 1 are the banks and leave their own share to
            // themselves while they are chosen.
            const bool is_bank = host < 2;
            if (!is_bank) {
              if (const auto stamp = pledges[host].Pledge(
                      HostId("h" + std::to_string(bank)), now)) {
                to_bank.push_back(
                    {host, bank, *stamp, now + milliseconds(10 * choose(200))});
              }
              to_host.push_back({host, bank, banks[bank].Stamp(now),
                                 now + milliseconds(choose(100))});
            }
            const bool pooled = is_bank || pledges[host].Pledged(now);
            own[host].SetPart(
                (pooled ? 1 - BankRules::kPooledPart : 1) / kHosts, now);
            oracle.Add(own[host].Take(Account(), 100, now), now);
          }
          const auto deliver = [&](std::vector<Message>& messages,
                                   const auto& take) {
            for (size_t i = 0; i < messages.size();) {
              if (messages[i].due <= now) {
                take(messages[i]);
                messages.erase(messages.begin() + static_cast<long>(i));
              } else {
                ++i;
              }
            }
          };
          deliver(to_bank, [&](const Message& message) {
            banks[message.bank].OnPledge(
                HostId("h" + std::to_string(message.host)), message.stamp, now);
          });
          deliver(to_host, [&](const Message& message) {
            pledges[message.host].OnStamp(message.stamp, now);
          });
          for (LimitBank& bank : banks) {
            oracle.Add(bank.Take(Account(), 100, now), now);
          }
        }
        RC_ASSERT(static_cast<double>(oracle.most()) <= WindowOracle::kBound);
      }));
}

}  // namespace applestand
