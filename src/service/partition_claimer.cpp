#include "oxbowmill/service/partition_claimer.h"

#include <algorithm>

#include "oxbowmill/service/transaction_body.h"

namespace oxbowmill::service {

using state::StoreResponse;

namespace {
constexpr double acquisition_stagger_s = 0.6;  // between the attempts of one controller and the next
constexpr double acquisition_timeout_s = 3;    // after which an attempt without a visible result is repeated
constexpr double failed_attempt_retry_s = 0.5;
constexpr double registration_interval_s = 1;
constexpr double startup_period_s = 5;  // until a controller knows which other ones are live
}  // namespace

PartitionClaimer::PartitionClaimer(state::Store& store, StateReplica& replica, ClusterState& state,
                                   const ControllerLease& lease, std::function<double()> clock)
    : store_(store), replica_(replica), state_(state), lease_(lease), clock_(std::move(clock)) {}

void PartitionClaimer::run_cycle() {
  double now = clock_();
  if (lease_.lease_id() == 0 || lease_.authority(now) != Authority::full || !state_.catalog_known()) return;
  register_controller(now);
  std::vector<std::string> live = live_controllers();
  if (std::find(live.begin(), live.end(), state_.settings.controller_name) == live.end()) return;
  store_.set_live_controllers(live.size());
  for (std::uint32_t number = 0; number < state_.partition_count(); ++number) {
    PartitionIndex partition{number};
    if (state_.ownership(partition).revision != 0) {
      next_attempt_at_.erase(number);
    } else {
      try_acquire(partition, live, now);
    }
  }
}

std::vector<std::string> PartitionClaimer::live_controllers() const {
  std::vector<std::string> live;
  for (const auto& [name, controller] : state_.controllers()) live.push_back(name);
  return live;
}

void PartitionClaimer::register_controller(double now) {
  if (now < next_registration_at_ || !needs_registration(state_, lease_, state_.settings.controller_name))
    return;
  next_registration_at_ = now + registration_interval_s;
  put_own_record(ControllerKey{state_.settings.controller_name}, [](const StoreResponse&) {});
}

std::size_t PartitionClaimer::turn_of(PartitionIndex partition, const std::vector<std::string>& live,
                                      double now) {
  if (previously_owned_.erase(partition.value) != 0) return 0;
  bool is_starting = now - started_at_ < startup_period_s;
  return acquisition_turn(state_, partition, state_.settings.controller_name,
                          is_starting ? state_.settings.all_controllers : live);
}

void PartitionClaimer::try_acquire(PartitionIndex partition, const std::vector<std::string>& live,
                                   double now) {
  auto turn = static_cast<double>(turn_of(partition, live, now));
  double& next_attempt_at =
      next_attempt_at_.emplace(partition.value, now + turn * acquisition_stagger_s).first->second;
  if (now < next_attempt_at) return;
  next_attempt_at = now + acquisition_timeout_s;
  put_own_record(OwnershipKey{partition}, [this, partition](const StoreResponse& response) {
    if (response.status != 200) next_attempt_at_[partition.value] = clock_() + failed_attempt_retry_s;
  });
}

void PartitionClaimer::put_own_record(const Key& key, const CommitHandler& on_response) {
  Change change{key, OwnershipRecord{state_.settings.controller_name, lease_.lease_id()}, lease_.lease_id()};
  std::string encoded_key = state::encode_key(key, state_);
  TransactionBody body;
  body.put_with_lease(encoded_key, state::encode_value(change, state_), lease_.lease_id());
  // A registration needs no guard, because only this process writes it. An ownership must not exist yet.
  if (!std::holds_alternative<ControllerKey>(key)) body.require(encoded_key, 0);
  store_.commit(body.json(), Urgency::ownership,
                [this, encoded_key, change, on_response](const StoreResponse& response) {
                  if (response.status == 200)
                    replica_.apply_own_write({{encoded_key, change}}, committed_revision(response.body));
                  on_response(response);
                });
}

}  // namespace oxbowmill::service
