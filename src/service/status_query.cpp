#include "oxbowmill/service/status_query.h"

namespace oxbowmill::service {

using Kind = KeyReadResult::Kind;

QueryStep StatusQuery::finish(JobPhase phase) {
  set_state(QueryState::answered);
  phase_ = phase;
  return QueryStep::answer;
}

QueryStep StatusQuery::poll(std::optional<JobPhase> known_final_phase) {
  // A final phase does not change.
  return known_final_phase ? finish(*known_final_phase) : QueryStep::wait_for_replica;
}

QueryStep StatusQuery::on_replica_current(bool is_current, std::optional<JobPhase> live_phase) {
  if (!is_current) return look_up();
  if (live_phase) return finish(*live_phase);
  // The job's own key does not exist, so only the final key has to be read. With a slow state service, two
  // reads in sequence took longer than users wait, and no controller answered polls of finished jobs.
  set_state(QueryState::not_in_replica);
  return QueryStep::read_final;
}

QueryStep StatusQuery::look_up() {
  // The job's own key is read first. The transaction that deletes it writes the final key, so in this order
  // an accepted job is always found under one of the two.
  set_state(QueryState::initial);
  return QueryStep::read_live;
}

QueryStep StatusQuery::on_live_key_read(const KeyReadResult& result) {
  if (result.kind == Kind::found) return finish(result.phase);
  if (result.kind == Kind::unknown) return QueryStep::refuse;
  set_state(QueryState::not_live);
  return QueryStep::read_final;
}

QueryStep StatusQuery::on_final_key_read(const KeyReadResult& result) {
  if (result.kind == Kind::found) return finish(result.phase);
  if (result.kind == Kind::unknown) return QueryStep::refuse;
  // A job whose record cannot be decoded is not in the replica, so only a read of both keys shows that there
  // is no such job.
  return state_ == QueryState::not_live ? QueryStep::absent : look_up();
}

}  // namespace oxbowmill::service
