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

QueryStep StatusQuery::on_replica_current(bool current, std::optional<JobPhase> live) {
  if (!current) return look_up();
  if (live) return finish(*live);
  // Its own key is not there, so that only the other needs to be read: two reads one after the other took
  // longer than a user waits while the state service was slow, and a job that was over got no answer
  // anywhere.
  set_state(QueryState::not_in_replica);
  return QueryStep::read_final;
}

QueryStep StatusQuery::look_up() {
  // The job's own key first: it goes in the same transaction in which the final key comes, so a job that was
  // ever accepted is found under one of the two.
  set_state(QueryState::begun);
  return QueryStep::read_live;
}

QueryStep StatusQuery::on_live_key_read(const KeyReadResult& r) {
  if (r.kind == Kind::found) return finish(r.phase);
  if (r.kind == Kind::unknown) return QueryStep::refuse;
  set_state(QueryState::not_live);
  return QueryStep::read_final;
}

QueryStep StatusQuery::on_final_key_read(const KeyReadResult& r) {
  if (r.kind == Kind::found) return finish(r.phase);
  if (r.kind == Kind::unknown) return QueryStep::refuse;
  // The tables may lack a job whose record they cannot read: only the keys themselves say that there is none.
  return state_ == QueryState::not_live ? QueryStep::absent : look_up();
}

}  // namespace oxbowmill::service
