#include "lib/control/move_service.h"

#include <string>

#include "lib/log/log.h"

namespace applestand {

namespace {

constexpr Duration kReportLifetime = std::chrono::seconds(3);
/// Fraction of the destination's spare slots that a move leaves free.
constexpr double kReservedFraction = 0.15;
constexpr double kPermille = 1000;
constexpr const char* kChangeAuthor = "applestand-control";

}  // namespace

void ReportedHeadroom::OnReport(const std::vector<RegionLoad>& loads) {
  m_reported_at = m_loop.Now();
  m_loads.clear();
  for (const RegionLoad& load : loads) {
    m_loads[{load.service, load.region}] = load;
  }
}

bool ReportedHeadroom::HasRoom(const ServiceId& service,
                               const RegionId& from,
                               const RegionId& to,
                               uint32_t permille) const {
  if (m_loop.Now() - m_reported_at > kReportLifetime) {
    return false;
  }
  const auto source = m_loads.find({service, from});
  const auto destination = m_loads.find({service, to});
  if (destination == m_loads.end()) {
    return false;
  }
  double used = 0;
  if (source != m_loads.end()) {
    used = source->second.allowed - source->second.spare;
  }
  const double shifted = used * permille / kPermille;
  return shifted <= destination->second.spare * (1 - kReservedFraction);
}

MoveService::MoveService(EventLoop& loop, ConfigSync& config)
    : m_loop(loop),
      m_config(config),
      m_headroom(loop),
      m_advancer(m_headroom) {}

void MoveService::Tick() {
  m_advancer.OnConfig(m_config.state(), m_loop.Now());
  if (m_append_pending) {
    return;
  }
  const std::vector<MoveStep> steps = m_advancer.DueSteps(m_loop.Now());
  if (!steps.empty()) {
    Propose(steps.front());
  }
}

void MoveService::Propose(const MoveStep& step) {
  const auto found = m_config.state().moves.find(step.move);
  if (found == m_config.state().moves.end() ||
      found->second.current_permille != step.expected_permille) {
    return;
  }
  Move move = found->second;
  move.current_permille = step.next_permille;
  Change change;
  // All hosts that propose this step use the same change id, so the log holds
  // it at most once.
  change.id = ChangeId("move-" + step.move.value() + "-" +
                       std::to_string(step.expected_version.value()) + "-" +
                       std::to_string(step.next_permille));
  change.author = kChangeAuthor;
  change.operation = Put<Move>{move};
  m_append_pending = true;
  m_config.Append(
      change, step.expected_version, [this, step](const ChangeResult& result) {
        m_append_pending = false;
        if (result.outcome.kind == AppendOutcome::Kind::kCommitted) {
          LogEvent(Event::kMoveAdvanced,
                   {{"move", step.move}, {"permille", step.next_permille}});
        }
      });
}

}  // namespace applestand
