#include "lib/steering/service_split.h"

namespace applestand {

const ServiceId* ServiceSplit::Next(const ServingRoute& route) {
  if (route.services.size() == 1) {
    return &route.services.front().service;
  }
  std::map<ServiceId, double>& credit = m_credit[route.id];
  double total = 0;
  const WeightedService* best = nullptr;
  for (const WeightedService& part : route.services) {
    if (part.weight <= 0) {
      continue;
    }
    total += part.weight;
    credit[part.service] += part.weight;
    if (best == nullptr || credit[part.service] > credit[best->service]) {
      best = &part;
    }
  }
  if (best == nullptr) {
    return nullptr;
  }
  credit[best->service] -= total;
  return &best->service;
}

}  // namespace applestand
