#include <charconv>

#include "lib/config/change.h"

namespace applestand {

namespace {

constexpr uint32_t kOctetCount = 4;
constexpr uint32_t kMaxPrefixLength = 32;

// Parses the decimal number at the start of `text` and removes it from `text`.
// Returns std::nullopt if there is none, if it exceeds `max`, or if it has
// leading zeros.
std::optional<uint32_t> ConsumeNumber(std::string_view& text, uint32_t max) {
  uint32_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || number > max) {
    return std::nullopt;
  }
  const auto length = static_cast<size_t>(end - text.data());
  if (length > 1 && text.front() == '0') {
    return std::nullopt;
  }
  text.remove_prefix(length);
  return number;
}

}  // namespace

std::optional<uint32_t> ParseIpv4(std::string_view text, Reason& reason) {
  uint32_t address = 0;
  for (uint32_t octet = 0; octet < kOctetCount; ++octet) {
    if (octet > 0) {
      if (text.empty() || text.front() != '.') {
        break;
      }
      text.remove_prefix(1);
    }
    const auto number = ConsumeNumber(text, 255);
    if (!number) {
      break;
    }
    address = (address << 8) | *number;
    if (octet + 1 == kOctetCount && text.empty()) {
      return address;
    }
  }
  reason.text = "must be an IPv4 address such as 10.1.2.3";
  return std::nullopt;
}

std::optional<Ipv4Network> ParseIpv4Network(std::string_view text,
                                            Reason& reason) {
  const size_t slash = text.find('/');
  if (slash != std::string_view::npos) {
    const auto address = ParseIpv4(text.substr(0, slash), reason);
    std::string_view rest = text.substr(slash + 1);
    const auto length = ConsumeNumber(rest, kMaxPrefixLength);
    if (address && length && rest.empty()) {
      const uint64_t host_bits =
          (uint64_t{1} << (kMaxPrefixLength - *length)) - 1;
      if ((*address & host_bits) == 0) {
        return Ipv4Network{*address, *length};
      }
    }
  }
  reason.text =
      "must be an IPv4 network such as 10.1.0.0/16, with no host bits set";
  return std::nullopt;
}

}  // namespace applestand
