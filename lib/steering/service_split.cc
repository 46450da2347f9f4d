#include "lib/steering/service_split.h"

namespace applestand {

const ServiceId* ServiceSplit::Next(const ServingRoute& route) {
  if (route.services.size() == 1) {
    return &route.services.front().service;
  }
  std::map<ServiceId, double>& current_weights = m_current_weights[route.id];
  double total = 0;
  const WeightedService* best = nullptr;
  for (const WeightedService& candidate : route.services) {
    if (candidate.weight <= 0) {
      continue;
    }
    total += candidate.weight;
    current_weights[candidate.service] += candidate.weight;
    if (best == nullptr ||
        current_weights[candidate.service] > current_weights[best->service]) {
      best = &candidate;
    }
  }
  if (best == nullptr) {
    return nullptr;
  }
  current_weights[best->service] -= total;
  return &best->service;
}

}  // namespace applestand
