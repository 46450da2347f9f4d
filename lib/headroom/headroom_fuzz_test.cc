#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <map>
#include <utility>
#include <variant>

#include "lib/headroom/capacity_grant_holder.h"
#include "lib/headroom/capacity_granter.h"

namespace applestand {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kDesk("desk");
const HostId kGranter("g");
constexpr uint32_t kSlots = 20;
constexpr uint32_t kLocal = 5;
// kSlots minus a reserve of 3 slots minus kLocal.
constexpr uint32_t kLendable = 12;
constexpr int kHolders = 3;

/// Simulates several holders and one granter over a network that loses,
/// duplicates and delays messages, with hosts that freeze and restart.
class Network {
 public:
  explicit Network(Duration service_time)
      : m_granter(kGranter, MakePolicy()),
        m_grants_cover_transit(service_time == Duration::zero()) {
    m_granter.SetCapacity(kDesk, {kSlots, kLocal, service_time});
    m_granter.SetLink(RegionId("r"), 1'000'000'000, 1);
    for (int i = 0; i < kHolders; ++i) {
      m_incarnations[i] = 1;
      m_holders.emplace(i, MakeHolder(i));
    }
  }

  void Step(uint8_t op, uint16_t arg) {
    const int host = arg % kHolders;
    switch (op % 8) {
      case 0:
      case 1:
      case 2:
        SendRequest(host, arg);
        break;
      case 3:
      case 4:
        SendGrantRequests(host, arg);
        break;
      case 5:
        FinishRequest(arg);
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
    int incarnation = 0;
    bool late = false;
  };
  struct Completion {
    int host = 0;
    int incarnation = 0;
  };
  struct Reply {
    int host = 0;
    GrantReply reply;
  };
  using Message = std::variant<GrantRequest, Reply, Arrival, Completion>;

  static CapacityGranterPolicy MakePolicy() {
    CapacityGranterPolicy policy;
    policy.growth_permille_per_second = 5000;
    return policy;
  }

  CapacityGrantHolder MakeHolder(int i) {
    return CapacityGrantHolder(
        HostId(std::to_string(i)),
        Incarnation(static_cast<uint64_t>(m_incarnations[i])), RegionId("r"),
        {});
  }

  /// The clocks of the hosts have different origins.
  TimePoint ClockOf(int host) const { return m_now + seconds(100 * host); }

  /// Delays one message in eight by up to 4 s, as a frozen host would.
  static Duration Delay(uint16_t arg) {
    return arg / 4 % 8 == 0 ? milliseconds(arg / 32 % 4000)
                            : milliseconds(arg / 32 % 400);
  }

  void SendRequest(int host, uint16_t arg) {
    if (!m_holders.at(host).TryAcquire(kGranter, kDesk, 10, ClockOf(host))) {
      return;
    }
    const Duration delay = Delay(arg);
    const bool late = delay > MakePolicy().expiry_margin;
    m_any_late = m_any_late || late;
    ++m_in_transit;
    m_messages.emplace(m_now + delay,
                       Arrival{host, m_incarnations[host], late});
  }

  void SendGrantRequests(int host, uint16_t arg) {
    for (const auto& out : m_holders.at(host).DueRequests(ClockOf(host))) {
      SendMessage(out.request, arg);
    }
  }

  void SendMessage(const Message& message, uint16_t arg) {
    if (arg % 11 != 0) {
      m_messages.emplace(m_now + Delay(arg), message);
    }
    if (arg % 5 == 0) {
      m_messages.emplace(m_now + Delay(arg * 7), message);
    }
  }

  void FinishRequest(uint16_t arg) {
    if (m_running.empty()) {
      return;
    }
    auto at = m_running.begin() + arg % static_cast<int>(m_running.size());
    const Completion completion = *at;
    m_running.erase(at);
    m_granter.Release(HostId(std::to_string(completion.host)), kDesk);
    m_messages.emplace(m_now + Delay(arg), completion);
  }

  void Restart(int host) {
    ++m_incarnations[host];
    m_restarted = true;
    m_holders.erase(host);
    m_holders.emplace(host, MakeHolder(host));
  }

  void Advance(Duration step) {
    const TimePoint step_end = m_now + step;
    while (!m_messages.empty() && m_messages.begin()->first <= step_end) {
      const auto next = m_messages.extract(m_messages.begin());
      m_now = std::max(m_now, next.key());
      std::visit([this](const auto& message) { Deliver(message); },
                 next.mapped());
      Check();
    }
    m_now = step_end;
  }

  void Deliver(const GrantRequest& request) {
    if (const auto reply = m_granter.OnRequest(request, m_now)) {
      const int host = std::stoi(request.from.value());
      SendMessage(Reply{host, *reply},
                  static_cast<uint16_t>(++m_replies * 7919));
    }
  }

  /// The host may have restarted since it sent the grant request.
  void Deliver(const Reply& message) {
    m_holders.at(message.host).OnReply(message.reply, ClockOf(message.host));
  }

  void Deliver(const Arrival& arrival) {
    --m_in_transit;
    const HostId from(std::to_string(arrival.host));
    if (m_granter.Admit(from, kDesk, m_now)) {
      m_running.push_back({arrival.host, arrival.incarnation});
      return;
    }
    RC_ASSERT(arrival.late || m_restarted || !m_grants_cover_transit);
    m_messages.emplace(m_now, Completion{arrival.host, arrival.incarnation});
  }

  void Deliver(const Completion& completion) {
    if (m_incarnations[completion.host] == completion.incarnation) {
      m_holders.at(completion.host).Release(kGranter, kDesk);
    }
  }

  void Check() const {
    RC_ASSERT(m_granter.ForeignInFlight(kDesk) <= kSlots - kLocal);
    if (m_grants_cover_transit) {
      RC_ASSERT(m_granter.ForeignInFlight(kDesk) <= kLendable);
      RC_ASSERT(m_granter.CommittedSlots(kDesk, m_now) <= kLendable);
    }
    if (m_grants_cover_transit && !m_any_late && !m_restarted) {
      RC_ASSERT(m_granter.ForeignInFlight(kDesk) + m_in_transit <= kLendable);
    }
  }

  TimePoint m_now{std::chrono::hours(1)};
  CapacityGranter m_granter;
  std::map<int, int> m_incarnations;
  std::map<int, CapacityGrantHolder> m_holders;
  std::multimap<TimePoint, Message> m_messages;
  std::vector<Completion> m_running;
  uint32_t m_replies = 0;
  uint32_t m_in_transit = 0;
  // If the service time is unknown, a grant allows one request per slot,
  // including those in transit.
  const bool m_grants_cover_transit;
  bool m_any_late = false;
  bool m_restarted = false;
};

bool InvariantHolds(Duration service_time) {
  setenv("RC_PARAMS", "seed=20262 max_success=400 max_size=400", 1);
  return rc::check(
      [service_time](const std::vector<std::pair<uint8_t, uint16_t>>& steps) {
        Network network(service_time);
        for (const auto& [op, arg] : steps) {
          network.Step(op, arg);
        }
      });
}

TEST_CASE("fuzz: foreign requests never exceed the lendable slots") {
  CHECK(InvariantHolds(Duration::zero()));
}

TEST_CASE("fuzz: foreign requests never exceed the slots not used locally") {
  CHECK(InvariantHolds(milliseconds(50)));
}

}  // namespace
}  // namespace applestand
