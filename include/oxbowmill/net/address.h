// Addresses of the form HOST:PORT. Stateless.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>

namespace oxbowmill::net {

/// A host, by name or number, and a port.
struct Address {
  std::string host;        ///< not resolved
  std::uint16_t port = 0;  ///< 0 only in an address to listen on: the system's choice
};
/// "host:port".
std::string to_string(const Address& address);

/// A text is no address. It is a std::invalid_argument, as callers of `parse_address` expect.
class AddressError : public std::invalid_argument {
 public:
  /// `reason` completes the sentence that begins with the text in quotes.
  AddressError(const std::string& text, std::string reason)
      : std::invalid_argument("'" + text + "' " + reason), text_(text), reason_(std::move(reason)) {}
  /// The text that is no address.
  const std::string& text() const { return text_; }
  /// What is wrong with it, such as "has no port number".
  const std::string& reason() const { return reason_; }

 private:
  std::string text_, reason_;
};

/// Throws AddressError unless it is "host:port" with a port from 1 to 65535.
Address parse_address(const std::string& text);
/// The same for an address to listen on, where port 0 leaves the choice to the system.
Address parse_bind_address(const std::string& text);
/// The same as `parse_address`; nothing where that throws.
std::optional<Address> try_parse_address(const std::string& text);

}  // namespace oxbowmill::net
