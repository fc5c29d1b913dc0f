// Builds the JSON form of transactions of the state service. Performs no I/O.
#pragma once

#include <string>

#include "oxbowmill/wire/codec.h"

namespace oxbowmill::service {

/// Builder of a transaction, which is applied as a whole if every guard holds, and not at all otherwise.
class TransactionBody {
 public:
  /// Adds the guard that `key` has this revision, or does not exist if the revision is 0.
  TransactionBody& require(const std::string& key, Revision revision);
  /// Adds a write of a value under `key`.
  TransactionBody& put(const std::string& key, wire::Json value);
  /// Adds a write of a value under `key`, which the state service deletes when the lease ends.
  TransactionBody& put_with_lease(const std::string& key, wire::Json value, std::uint64_t lease_id);
  /// Adds the deletion of `key`.
  TransactionBody& remove(const std::string& key);
  /// The body of the request that commits the transaction.
  const wire::Json& json() const { return body_; }

 private:
  wire::Json& add_operation();

  wire::Json body_ = {{"guards", wire::Json::array()}, {"apply", wire::Json::array()}};
};

/// The revision of the state service in the response to a transaction; 0 if it cannot be read, which delays
/// what waits for that revision until the watch brings it.
Revision committed_revision(const wire::Json& response_body);

}  // namespace oxbowmill::service
