// Addresses of the form HOST:PORT. Stateless.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>

namespace oxbowmill::net {

/// A host and a port.
struct Address {
  std::string host;        ///< name, not resolved, or IP address
  std::uint16_t port = 0;  ///< 0 only in an address to listen on: the system chooses the port
};
/// The address as "host:port".
std::string to_string(const Address& address);

/// A text that is not an address. Derives from std::invalid_argument, which callers of `parse_address` catch.
class AddressError : public std::invalid_argument {
 public:
  /// `reason` is a predicate such as "has no port number". The message is the quoted text and the reason.
  AddressError(const std::string& text, std::string reason)
      : std::invalid_argument("'" + text + "' " + reason), text_(text), reason_(std::move(reason)) {}
  /// The text that could not be parsed.
  const std::string& text() const { return text_; }
  /// The reason as passed to the constructor.
  const std::string& reason() const { return reason_; }

 private:
  std::string text_, reason_;
};

/// Parses "host:port" with a port from 1 to 65535. Throws AddressError.
Address parse_address(const std::string& text);
/// Parses an address to listen on. Port 0 lets the system choose the port. Throws AddressError.
Address parse_bind_address(const std::string& text);
/// Like `parse_address`, but empty if the text is not an address.
std::optional<Address> try_parse_address(const std::string& text);

}  // namespace oxbowmill::net
