#include "oxbowmill/service/transaction_body.h"

#include "oxbowmill/state/responses.h"

namespace oxbowmill::service {

using wire::Json;

TransactionBody& TransactionBody::require(const std::string& key, Revision revision) {
  body_["guards"].push_back({{"k", key}, {"stamp", revision}});
  return *this;
}

TransactionBody& TransactionBody::put(const std::string& key, Json value) {
  Json& operation = add_operation();
  operation["put"] = key;
  operation["value"] = std::move(value);
  return *this;
}

TransactionBody& TransactionBody::put_with_lease(const std::string& key, Json value, std::uint64_t lease_id) {
  Json& operation = add_operation();
  operation["put"] = key;
  operation["value"] = std::move(value);
  operation["grant"] = lease_id;
  return *this;
}

TransactionBody& TransactionBody::remove(const std::string& key) {
  add_operation()["delete"] = key;
  return *this;
}

Json& TransactionBody::add_operation() {
  Json& operations = body_["apply"];
  operations.push_back(Json::object());
  return operations.back();
}

Revision committed_revision(const Json& response_body) {
  return state::read_revision(response_body).value_or(0);
}

}  // namespace oxbowmill::service
