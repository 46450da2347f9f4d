#include "lib/standin/target_faults.h"

#include <initializer_list>
#include <stdexcept>
#include <utility>

#include <nlohmann/json.hpp>

namespace applestand {

namespace {

using nlohmann::json;

template <class T>
T Choose(const json& value,
         std::initializer_list<std::pair<const char*, T>> choices) {
  const std::string text = value.get<std::string>();
  for (const auto& [name, choice] : choices) {
    if (text == name) {
      return choice;
    }
  }
  throw std::invalid_argument("unknown choice " + text);
}

uint32_t Unsigned(const json& value) {
  if (!value.is_number_unsigned() || value.get<uint64_t>() > UINT32_MAX) {
    throw std::invalid_argument("a number is out of range");
  }
  return value.get<uint32_t>();
}

/// Applies one field of a command; throws for an unknown one.
void ApplyFault(const std::string& name,
                const json& value,
                TargetFaults& faults) {
  using Faults = TargetFaults;
  if (name == "silent") {
    faults.silence = Choose<Faults::Silence>(
        value, {{"off", Faults::Silence::kOff},
                {"all", Faults::Silence::kAll},
                {"open-connections", Faults::Silence::kOpenConnections}});
  } else if (name == "drain") {
    faults.drain =
        Choose<Faults::Drain>(value, {{"off", Faults::Drain::kOff},
                                      {"serve", Faults::Drain::kServe},
                                      {"refuse", Faults::Drain::kRefuse}});
  } else if (name == "health") {
    faults.health =
        Choose<Faults::Report>(value, {{"true", Faults::Report::kTrue},
                                       {"up", Faults::Report::kLow},
                                       {"down", Faults::Report::kHigh}});
  } else if (name == "load") {
    faults.load =
        Choose<Faults::Report>(value, {{"true", Faults::Report::kTrue},
                                       {"zero", Faults::Report::kLow},
                                       {"full", Faults::Report::kHigh}});
  } else if (name == "half_answers") {
    faults.half_answers = Unsigned(value);
  } else if (name == "slots") {
    faults.slots = Unsigned(value);
  } else if (name == "service_ms") {
    faults.service_time = std::chrono::milliseconds(Unsigned(value));
  } else {
    throw std::invalid_argument("unknown field " + name);
  }
}

}  // namespace

bool TargetFaults::Apply(const std::string& body,
                         bool& silence_named,
                         Reason& reason) {
  try {
    TargetFaults changed = *this;
    const json command = json::parse(body);
    for (const auto& [name, value] : command.items()) {
      ApplyFault(name, value, changed);
    }
    *this = changed;
    silence_named = command.contains("silent");
    return true;
  } catch (const std::exception& error) {
    reason.text = error.what();
    return false;
  }
}

}  // namespace applestand
