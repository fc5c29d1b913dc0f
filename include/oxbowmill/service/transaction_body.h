// The JSON form of the state service's guarded transactions, built in one place. Pure.
#pragma once

#include <string>

#include "oxbowmill/wire/codec.h"

namespace oxbowmill::service {

/// A transaction that is applied as a whole if every guard holds, and not at all otherwise.
class TransactionBody {
 public:
  /// Guard: `key` has this revision; 0: it does not exist.
  TransactionBody& require(const std::string& key, Revision revision);
  /// Writes a value under `key`.
  TransactionBody& put(const std::string& key, wire::Json value);
  /// Writes a value that the state service deletes when the lease ends.
  TransactionBody& put_with_lease(const std::string& key, wire::Json value, std::uint64_t lease_id);
  /// Deletes `key`.
  TransactionBody& remove(const std::string& key);
  /// The body to be committed.
  const wire::Json& json() const { return body_; }

 private:
  wire::Json& add_operation();

  wire::Json body_ = {{"guards", wire::Json::array()}, {"apply", wire::Json::array()}};
};

/// The revision that the state service gave to a committed transaction; 0 where its response names none.
Revision committed_revision(const wire::Json& response_body);

}  // namespace oxbowmill::service
