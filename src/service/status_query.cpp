#include "oxbowmill/service/status_query.h"

namespace oxbowmill::service {

using Kind = KeyReadResult::Kind;

QueryStep StatusQuery::finish(JobPhase phase) {
  set_state(QueryState::answered);
  phase_ = phase;
  return QueryStep::answer;
}

QueryStep StatusQuery::poll(std::optional<JobPhase> remembered) {
  // A final phase does not change.
  return remembered ? finish(*remembered) : QueryStep::wait_for_replica;
}

QueryStep StatusQuery::on_replica_current(bool is_current, std::optional<JobPhase> live) {
  if (!is_current) return look_up();
  if (live) return finish(*live);
  // The job's own key does not exist, so that only the other one needs to be read: while the state service
  // was slow, two reads in sequence took longer than a user waits, and a finished job got no answer on any
  // controller.
  set_state(QueryState::not_in_replica);
  return QueryStep::read_final;
}

QueryStep StatusQuery::look_up() {
  // The job's own key first: the transaction that deletes it writes the final key, so that a job that was
  // ever accepted is found under one of the two.
  set_state(QueryState::begun);
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
  // The replica lacks a job whose record cannot be decoded: only the keys themselves show that there is none.
  return state_ == QueryState::not_live ? QueryStep::absent : look_up();
}

}  // namespace oxbowmill::service
