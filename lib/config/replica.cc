#include "lib/config/replica.h"

#include <algorithm>
#include <utility>

namespace applestand {

ConfigReplica::Result ConfigReplica::Apply(const Change& change) {
  if (change.version <= m_state.version) {
    return Result::kAlreadyApplied;
  }
  if (change.version != m_state.version.Next()) {
    return Result::kGap;
  }
  ApplyChange(change, m_state);
  m_tail.push_back(change);
  if (m_tail.size() > m_tail_limit) {
    m_tail.pop_front();
  }
  return Result::kApplied;
}

ConfigReplica::Result ConfigReplica::Apply(const std::vector<Change>& changes) {
  Result result = Result::kAlreadyApplied;
  for (const Change& change : changes) {
    const Result change_result = Apply(change);
    if (change_result == Result::kGap) {
      return change_result;
    }
    if (change_result == Result::kApplied) {
      result = change_result;
    }
  }
  return result;
}

bool ConfigReplica::InstallSnapshot(const std::string& bytes, Reason& reason) {
  auto state = DecodeSnapshot(bytes, reason);
  if (!state) {
    return false;
  }
  if (state->version > m_state.version) {
    m_state = std::move(*state);
    m_tail.clear();
  }
  return true;
}

bool ConfigReplica::Apply(const ConfigFetchReply& reply, Reason& reason) {
  if (reply.snapshot && !InstallSnapshot(*reply.snapshot, reason)) {
    return false;
  }
  if (Apply(reply.changes) == Result::kGap) {
    reason.text = "earlier changes are missing";
    return false;
  }
  return true;
}

ConfigFetchReply ConfigReplica::UpdateSince(ConfigVersion have) const {
  ConfigFetchReply reply;
  if (have >= m_state.version) {
    return reply;
  }
  if (m_tail.empty() || m_tail.front().version > have.Next()) {
    reply.snapshot = EncodeSnapshot(m_state);
    return reply;
  }
  const auto is_new = [have](const Change& change) {
    return change.version > have;
  };
  std::copy_if(m_tail.begin(), m_tail.end(), std::back_inserter(reply.changes),
               is_new);
  return reply;
}

}  // namespace applestand
