#include "lib/moves/move_advancer.h"

#include <algorithm>
#include <set>
#include <utility>

namespace applestand {

namespace {

constexpr uint32_t kFullPermille = 1000;

/// Returns whether two versions of a move have the same step parameters and the
/// same current value, so that the step interval need not restart.
bool SameStep(const Move& a, const Move& b) {
  return a.service == b.service && a.from == b.from && a.to == b.to &&
         a.step_permille == b.step_permille &&
         a.step_interval == b.step_interval &&
         a.current_permille == b.current_permille;
}

std::set<ServiceId> ServicesIn(const ConfigState& config,
                               const RegionId& region,
                               bool include_leaving) {
  std::set<ServiceId> services;
  for (const auto& [id, target] : config.targets) {
    if (target.region == region && (include_leaving || !target.leaving)) {
      services.insert(target.service);
    }
  }
  return services;
}

}  // namespace

void MoveAdvancer::OnConfig(const ConfigState& config, TimePoint now) {
  if (config.version < m_version) {
    return;
  }
  m_version = config.version;
  std::map<MoveId, Watched> moves;
  for (const auto& [id, move] : config.moves) {
    const auto before = m_moves.find(id);
    const bool same =
        before != m_moves.end() && SameStep(before->second.move, move);
    moves[id] = Watched{move, same ? before->second.unchanged_since : now};
  }
  m_moves = std::move(moves);
}

std::vector<MoveStep> MoveAdvancer::DueSteps(TimePoint now) const {
  std::vector<MoveStep> due;
  for (const auto& [id, watched] : m_moves) {
    if (const auto step = ProposeStep(watched, now)) {
      due.push_back(*step);
    }
  }
  return due;
}

std::optional<MoveStep> MoveAdvancer::ProposeStep(const Watched& watched,
                                                  TimePoint now) const {
  const Move& move = watched.move;
  const uint32_t goal = std::min(move.goal_permille, kFullPermille);
  const uint32_t current = move.current_permille;
  if (move.paused || current == goal || move.step_permille == 0 ||
      now - watched.unchanged_since < move.step_interval) {
    return std::nullopt;
  }
  const bool forward = current < goal;
  const uint32_t left = forward ? goal - current : current - goal;
  const uint32_t step = std::min(left, move.step_permille);
  const RegionId& source = forward ? move.from : move.to;
  const RegionId& destination = forward ? move.to : move.from;
  if (!m_headroom.HasRoom(move.service, source, destination, step)) {
    return std::nullopt;
  }
  const uint32_t next = forward ? current + step : current - step;
  return MoveStep{move.id, m_version, current, next};
}

std::vector<Move> DrainRegion(const ConfigState& config,
                              const RegionId& from,
                              const RegionId& to,
                              uint32_t step_permille,
                              Duration step_interval,
                              const std::string& id_prefix) {
  const std::set<ServiceId> destination_services =
      ServicesIn(config, to, false);
  std::vector<Move> moves;
  for (const ServiceId& service : ServicesIn(config, from, true)) {
    if (destination_services.count(service) == 0) {
      continue;
    }
    Move move;
    move.id = MoveId(id_prefix + service.value());
    move.service = service;
    move.from = from;
    move.to = to;
    move.step_permille = step_permille;
    move.step_interval = step_interval;
    moves.push_back(move);
  }
  return moves;
}

}  // namespace applestand
