#include "lib/http/response_attribution.h"

#include <algorithm>
#include <cassert>
#include <functional>

namespace applestand {

const char* ToString(ResponseOwner owner) {
  switch (owner) {
    case ResponseOwner::kThisRequest:
      return "this";
    case ResponseOwner::kOtherRequest:
      return "another";
    case ResponseOwner::kUnknown:
      return "unknown";
  }
  return "unknown";
}

void ResponseAttribution::OnRequest(const std::string& id) {
  assert(may_carry_request(id) && "the connection may not carry this request");
  ++m_requests;
  if (!id.empty()) {
    m_ids.push_back(std::hash<std::string>()(id));
  }
}

bool ResponseAttribution::may_carry_request(const std::string& id) const {
  return may_carry_request() &&
         (id.empty() || std::find(m_ids.begin(), m_ids.end(),
                                  std::hash<std::string>()(id)) == m_ids.end());
}

bool ResponseAttribution::OnResponse(ResponseOwner owner) {
  assert(m_requests > 0 && "nothing was asked");
  if (owner == ResponseOwner::kThisRequest) {
    return true;
  }
  if (owner == ResponseOwner::kUnknown && m_requests == 1 && m_in_step) {
    m_identified = false;
    return true;
  }
  m_in_step = false;
  return false;
}

}  // namespace applestand
