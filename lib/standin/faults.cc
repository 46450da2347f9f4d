#include "lib/standin/faults.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <stdexcept>

#include <nlohmann/json.hpp>

namespace applestand {

namespace {

using nlohmann::json;

constexpr std::array<ServiceFault, 7> kFaults = {
    ServiceFault::kNone,       ServiceFault::kDown,
    ServiceFault::kSlow,       ServiceFault::kSlowAnswer,
    ServiceFault::kAnswerLost, ServiceFault::kRequestLost,
    ServiceFault::kFrozen};

constexpr std::array<const char*, 4> kServices = {"table", "objects", "hosts",
                                                  "measurements"};

constexpr double kMaxFaultSeconds = 1e6;

ServiceFault FaultFromText(const std::string& text) {
  const auto* it = std::find_if(
      kFaults.begin(), kFaults.end(),
      [&text](ServiceFault fault) { return text == ToString(fault); });
  if (it == kFaults.end()) {
    throw std::invalid_argument("unknown fault " + text);
  }
  return *it;
}

Duration DurationFromJson(const json& value, double units_per_second) {
  const double seconds = value.get<double>() / units_per_second;
  if (!(seconds >= 0) || seconds > kMaxFaultSeconds) {
    throw std::invalid_argument("a time is out of range");
  }
  return Duration(static_cast<int64_t>(seconds * 1e6));
}

bool IsService(const std::string& name) {
  return std::any_of(kServices.begin(), kServices.end(),
                     [&name](const char* service) { return name == service; });
}

}  // namespace

const char* ToString(ServiceFault fault) {
  switch (fault) {
    case ServiceFault::kNone:
      return "none";
    case ServiceFault::kDown:
      return "down";
    case ServiceFault::kSlow:
      return "slow";
    case ServiceFault::kSlowAnswer:
      return "slow-answer";
    case ServiceFault::kAnswerLost:
      return "answer-lost";
    case ServiceFault::kRequestLost:
      return "request-lost";
    case ServiceFault::kFrozen:
      return "frozen";
  }
  return "none";
}

bool FaultPlan::Apply(const std::string& body, TimePoint now, Reason& reason) {
  try {
    std::map<std::string, Entry> changed;
    Duration delay = Duration::zero();
    std::optional<TimePoint> until;
    const json command = json::parse(body);
    for (const auto& [name, value] : command.items()) {
      if (name == "slow_ms") {
        delay = DurationFromJson(value, 1000);
      } else if (name == "seconds") {
        until = now + DurationFromJson(value, 1);
      } else if (IsService(name)) {
        changed[name].fault = FaultFromText(value.get<std::string>());
      } else {
        throw std::invalid_argument("unknown field " + name);
      }
    }
    for (auto& [name, entry] : changed) {
      entry.delay = delay;
      entry.until = until;
      m_entries[name] = entry;
    }
    return true;
  } catch (const std::exception& error) {
    reason.text = error.what();
    return false;
  }
}

ServiceFault FaultPlan::Active(const std::string& service,
                               TimePoint now) const {
  const auto it = m_entries.find(service);
  if (it == m_entries.end()) {
    return ServiceFault::kNone;
  }
  const bool over = it->second.until && *it->second.until <= now;
  return over ? ServiceFault::kNone : it->second.fault;
}

Duration FaultPlan::Delay(const std::string& service) const {
  const auto it = m_entries.find(service);
  return it == m_entries.end() ? Duration::zero() : it->second.delay;
}

}  // namespace applestand
