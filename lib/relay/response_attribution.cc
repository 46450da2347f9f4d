#include "lib/relay/response_attribution.h"

#include <cassert>

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

void ResponseAttribution::OnRequest() {
  assert(may_carry_request() && "the connection may carry no further request");
  ++m_requests;
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
