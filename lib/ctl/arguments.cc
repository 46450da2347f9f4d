#include "lib/ctl/arguments.h"

#include <cstdlib>
#include <sstream>

namespace applestand {

namespace {

cxxopts::Options MakeOptions() {
  cxxopts::Options options("applestandctl", "Manages an applestand fleet");
  options.add_options()("api",
                        "control process address; default: $APPLESTAND_API",
                        cxxopts::value<std::string>(), "IP:PORT")(
      "token", "operator token; default: $APPLESTAND_TOKEN",
      cxxopts::value<std::string>(),
      "TOKEN")("output", "output format: text (default) or json",
               cxxopts::value<std::string>(), "FORMAT")(
      "change-id", "idempotency key of the change; default: a random one",
      cxxopts::value<std::string>(),
      "ID")("author", "author of the change; default: $USER",
            cxxopts::value<std::string>(), "NAME")(
      "expected", "change the configuration only if it is at this version",
      cxxopts::value<std::string>(),
      "N")("rate", "requests per second", cxxopts::value<std::string>(), "R")(
      "burst", "maximum burst in requests", cxxopts::value<std::string>(), "N")(
      "weight", "weight relative to other accounts",
      cxxopts::value<std::string>(),
      "W")("id", "key ID", cxxopts::value<std::string>(), "ID")(
      "prefix", "path prefix", cxxopts::value<std::string>(), "PATH")(
      "service", "service", cxxopts::value<std::string>(), "ID")(
      "open", "accept requests without a key")(
      "repeatable", "requests are idempotent and may run more than once")(
      "timeout-ms", "request timeout", cxxopts::value<std::string>(), "MS")(
      "region", "region", cxxopts::value<std::string>(), "ID")(
      "zone", "availability zone ID", cxxopts::value<std::string>(), "ID")(
      "address", "target address", cxxopts::value<std::string>(), "IP:PORT")(
      "slots", "maximum concurrent requests of the target",
      cxxopts::value<std::string>(),
      "N")("from", "region from which traffic is moved",
           cxxopts::value<std::string>(), "ID")(
      "to", "region to which traffic is moved", cxxopts::value<std::string>(),
      "ID")("step", "maximum traffic moved per step, in 1/1000",
            cxxopts::value<std::string>(),
            "N")("interval-ms", "minimum time between steps",
                 cxxopts::value<std::string>(), "MS")(
      "goal", "total traffic to move, in 1/1000", cxxopts::value<std::string>(),
      "N")("regions", "comma-separated regions, best first",
           cxxopts::value<std::string>(),
           "LIST")("version", "print the version")("help", "print this help")(
      "words", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"words"});
  return options;
}

}  // namespace

CtlArguments::CtlArguments(int argc, const char* const* argv) {
  cxxopts::Options options = MakeOptions();
  m_result = options.parse(argc, argv);
  if (m_result.count("words") > 0) {
    m_positional_arguments = m_result["words"].as<std::vector<std::string>>();
  }
}

bool CtlArguments::Has(const std::string& option) const {
  return m_result.count(option) > 0;
}

std::string CtlArguments::GetString(const std::string& option) const {
  return Has(option) ? m_result[option].as<std::string>() : std::string();
}

std::optional<double> CtlArguments::ParseNumber(const std::string& option,
                                                double min,
                                                double max,
                                                Reason& reason) const {
  const std::string text = GetString(option);
  char* end = nullptr;
  const double value = std::strtod(text.c_str(), &end);
  if (text.empty() || *end != '\0' || !(value >= min && value <= max)) {
    std::ostringstream out;
    out << "--" << option << ": allowed: a number from " << min << " to "
        << max;
    reason.text = out.str();
    return std::nullopt;
  }
  return value;
}

std::string CtlArguments::OptionsHelp() {
  return MakeOptions().help({""});
}

}  // namespace applestand
