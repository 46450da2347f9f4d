#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <map>
#include <utility>
#include <variant>

#include "lib/headroom/grant_holder.h"
#include "lib/headroom/granter.h"

namespace applestand {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kDesk("desk");
const HostId kGranter("g");
constexpr uint32_t kSlots = 20;
constexpr uint32_t kLocal = 5;
// 20 slots less a reserve of 3 and the local load.
constexpr uint32_t kLendable = 12;
constexpr int kHolders = 3;

/// Several holders and one granter over a network that loses, doubles and
/// delays, with hosts that freeze and restart.
class Network {
 public:
  explicit Network(Duration service_time)
      : m_granter(kGranter, MakePolicy()),
        m_counts_travel(service_time == Duration::zero()) {
    m_granter.SetCapacity(kDesk, {kSlots, kLocal, service_time});
    m_granter.SetLink(RegionId("r"), 1'000'000'000, 1);
    for (int i = 0; i < kHolders; ++i) {
      m_runs[i] = 1;
      m_holders.emplace(i, MakeHolder(i));
    }
  }

  void Step(uint8_t op, uint16_t arg) {
    const int host = arg % kHolders;
    switch (op % 8) {
      case 0:
      case 1:
      case 2:
        Work(host, arg);
        break;
      case 3:
      case 4:
        Ask(host, arg);
        break;
      case 5:
        End(arg);
        break;
      case 6:
        if (arg % 16 == 0) {
          Restart(host);
        }
        break;
      default:
        break;
    }
    Advance(milliseconds(arg / 8 % 64));
    Check();
  }

 private:
  struct Arrival {
    int host = 0;
    int run = 0;
    bool late = false;
  };
  struct Done {
    int host = 0;
    int run = 0;
  };
  struct Reply {
    int host = 0;
    GrantReply reply;
  };
  using Message = std::variant<GrantRequest, Reply, Arrival, Done>;

  static GranterPolicy MakePolicy() {
    GranterPolicy policy;
    policy.growth_permille_per_second = 5000;
    return policy;
  }

  GrantHolder MakeHolder(int i) {
    return GrantHolder(HostId(std::to_string(i)),
                       Incarnation(static_cast<uint64_t>(m_runs[i])),
                       RegionId("r"), {});
  }

  /// Each host's clock has its own origin.
  TimePoint ClockOf(int host) const { return m_now + seconds(100 * host); }

  /// One message in eight is very late, which also stands for a frozen host.
  static Duration Delay(uint16_t arg) {
    return arg / 4 % 8 == 0 ? milliseconds(arg / 32 % 4000)
                            : milliseconds(arg / 32 % 400);
  }

  void Work(int host, uint16_t arg) {
    if (!m_holders.at(host).TrySend(kGranter, kDesk, 10, ClockOf(host))) {
      return;
    }
    const Duration delay = Delay(arg);
    const bool late = delay > MakePolicy().margin;
    m_any_late = m_any_late || late;
    ++m_travelling;
    m_messages.emplace(m_now + delay, Arrival{host, m_runs[host], late});
  }

  void Ask(int host, uint16_t arg) {
    for (const auto& out : m_holders.at(host).DueRequests(ClockOf(host))) {
      Send(out.request, arg);
    }
  }

  void Send(const Message& message, uint16_t arg) {
    if (arg % 11 != 0) {
      m_messages.emplace(m_now + Delay(arg), message);
    }
    if (arg % 5 == 0) {
      m_messages.emplace(m_now + Delay(arg * 7), message);
    }
  }

  void End(uint16_t arg) {
    if (m_running.empty()) {
      return;
    }
    auto at = m_running.begin() + arg % static_cast<int>(m_running.size());
    const Done done = *at;
    m_running.erase(at);
    m_granter.Release(HostId(std::to_string(done.host)), kDesk);
    m_messages.emplace(m_now + Delay(arg), done);
  }

  void Restart(int host) {
    ++m_runs[host];
    m_restarted = true;
    m_holders.erase(host);
    m_holders.emplace(host, MakeHolder(host));
  }

  void Advance(Duration step) {
    const TimePoint end = m_now + step;
    while (!m_messages.empty() && m_messages.begin()->first <= end) {
      const auto next = m_messages.extract(m_messages.begin());
      m_now = std::max(m_now, next.key());
      std::visit([this](const auto& message) { Deliver(message); },
                 next.mapped());
      Check();
    }
    m_now = end;
  }

  void Deliver(const GrantRequest& request) {
    if (const auto reply = m_granter.OnRequest(request, m_now)) {
      const int host = std::stoi(request.from.value());
      Send(Reply{host, *reply}, static_cast<uint16_t>(++m_replies * 7919));
    }
  }

  /// May reach a later run of the host than the one that asked.
  void Deliver(const Reply& message) {
    m_holders.at(message.host).OnReply(message.reply, ClockOf(message.host));
  }

  void Deliver(const Arrival& arrival) {
    --m_travelling;
    const HostId from(std::to_string(arrival.host));
    if (m_granter.Admit(from, kDesk, m_now)) {
      m_running.push_back({arrival.host, arrival.run});
      return;
    }
    RC_ASSERT(arrival.late || m_restarted || !m_counts_travel);
    m_messages.emplace(m_now, Done{arrival.host, arrival.run});
  }

  void Deliver(const Done& done) {
    if (m_runs[done.host] == done.run) {
      m_holders.at(done.host).OnDone(kGranter, kDesk);
    }
  }

  void Check() const {
    RC_ASSERT(m_granter.ForeignInFlight(kDesk) <= kSlots - kLocal);
    if (m_counts_travel) {
      RC_ASSERT(m_granter.ForeignInFlight(kDesk) <= kLendable);
      RC_ASSERT(m_granter.Committed(kDesk, m_now) <= kLendable);
    }
    if (m_counts_travel && !m_any_late && !m_restarted) {
      RC_ASSERT(m_granter.ForeignInFlight(kDesk) + m_travelling <= kLendable);
    }
  }

  TimePoint m_now{std::chrono::hours(1)};
  Granter m_granter;
  std::map<int, int> m_runs;
  std::map<int, GrantHolder> m_holders;
  std::multimap<TimePoint, Message> m_messages;
  std::vector<Done> m_running;
  uint32_t m_replies = 0;
  uint32_t m_travelling = 0;
  // Without a service time a grant is of slots, travel included.
  const bool m_counts_travel;
  bool m_any_late = false;
  bool m_restarted = false;
};

bool HoldsFor(Duration service_time) {
  setenv("RC_PARAMS", "seed=20262 max_success=400 max_size=400", 1);
  return rc::check(
      [service_time](const std::vector<std::pair<uint8_t, uint16_t>>& steps) {
        Network network(service_time);
        for (const auto& [op, arg] : steps) {
          network.Step(op, arg);
        }
      });
}

TEST_CASE("fuzz: foreign requests never exceed what was lendable") {
  CHECK(HoldsFor(Duration::zero()));
}

TEST_CASE("fuzz: foreign requests never exceed the slots free of local ones") {
  CHECK(HoldsFor(milliseconds(50)));
}

}  // namespace
}  // namespace applestand
