#include "oxbowmill/net/address.h"

namespace oxbowmill::net {

namespace {
constexpr const char* invalid_port = "has no valid port number";
}

std::string to_string(const Address& address) {
  return address.host + ":" + std::to_string(address.port);
}

Address parse_bind_address(const std::string& text) {
  constexpr unsigned long max_port = 65535;
  std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) throw AddressError(text, "is not HOST:PORT");
  std::size_t parsed_length = 0;
  unsigned long port = 0;
  try {
    port = std::stoul(text.substr(colon + 1), &parsed_length);
  } catch (const std::exception&) {
    throw AddressError(text, "has no port number");
  }
  if (parsed_length + colon + 1 != text.size() || port > max_port) throw AddressError(text, invalid_port);
  return {text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

Address parse_address(const std::string& text) {
  Address address = parse_bind_address(text);
  if (address.port == 0) throw AddressError(text, invalid_port);
  return address;
}

std::optional<Address> try_parse_address(const std::string& text) {
  try {
    return parse_address(text);
  } catch (const AddressError&) {
    return std::nullopt;
  }
}

}  // namespace oxbowmill::net
