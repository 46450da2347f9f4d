#include "lib/ctl/arguments.h"

#include <cstdlib>
#include <sstream>

namespace applestand {

namespace {

cxxopts::Options MakeOptions() {
  cxxopts::Options options("applestandctl", "Operates an applestand fleet");
  options.add_options()("api", "control address; else $APPLESTAND_API",
                        cxxopts::value<std::string>(), "IP:PORT")(
      "token", "operator token; else $APPLESTAND_TOKEN",
      cxxopts::value<std::string>(), "TOKEN")(
      "output", "text or json", cxxopts::value<std::string>(), "FORMAT")(
      "change-id", "idempotency key of the change; else a new one",
      cxxopts::value<std::string>(),
      "ID")("author", "who asks; else $USER", cxxopts::value<std::string>(),
            "NAME")("expected", "change only this configuration version",
                    cxxopts::value<std::string>(), "N")(
      "rate", "requests per second", cxxopts::value<std::string>(), "R")(
      "burst", "requests at once", cxxopts::value<std::string>(), "N")(
      "weight", "share relative to other accounts",
      cxxopts::value<std::string>(),
      "W")("id", "id of the key", cxxopts::value<std::string>(), "ID")(
      "prefix", "path prefix", cxxopts::value<std::string>(), "PATH")(
      "service", "service", cxxopts::value<std::string>(), "ID")(
      "open", "serve without a key")("repeatable",
                                     "may run more than once without harm")(
      "timeout-ms", "longest time of a request", cxxopts::value<std::string>(),
      "MS")("region", "region", cxxopts::value<std::string>(), "ID")(
      "zone", "availability zone", cxxopts::value<std::string>(), "ID")(
      "address", "target's address", cxxopts::value<std::string>(), "IP:PORT")(
      "slots", "requests a target runs at once", cxxopts::value<std::string>(),
      "N")("from", "region that traffic leaves", cxxopts::value<std::string>(),
           "ID")("to", "region that traffic goes to",
                 cxxopts::value<std::string>(), "ID")(
      "step", "cap of one step, in 1/1000", cxxopts::value<std::string>(), "N")(
      "interval-ms", "time between steps", cxxopts::value<std::string>(), "MS")(
      "goal", "part to move, in 1/1000", cxxopts::value<std::string>(), "N")(
      "regions", "regions, best first, with commas",
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
    m_words = m_result["words"].as<std::vector<std::string>>();
  }
}

bool CtlArguments::Has(const std::string& option) const {
  return m_result.count(option) > 0;
}

std::string CtlArguments::Text(const std::string& option) const {
  return Has(option) ? m_result[option].as<std::string>() : std::string();
}

std::optional<double> CtlArguments::Number(const std::string& option,
                                           double min,
                                           double max,
                                           Reason& reason) const {
  const std::string text = Text(option);
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
