#include "oxbowmill/service/submission_service.h"

#include <spdlog/spdlog.h>

#include "oxbowmill/service/transaction_body.h"
#include "oxbowmill/state/responses.h"

namespace oxbowmill::service {

using state::StoreResponse;
using wire::Json;

namespace {
constexpr std::size_t max_final_phases = 20000;
constexpr int retry_after_s = 1;
constexpr int max_withdrawal_attempts = 5;
constexpr std::size_t max_waiting_calls = 200;  // to the state service
constexpr double unresponsive_after_s = 0.8;

void reply_unavailable(const net::ResponderPtr& responder) {
  responder->reply(503, "", retry_after_s);
}
void reply_error(const net::ResponderPtr& responder, int status, const std::string& reason) {
  responder->reply(status, wire::encode({{"error", reason}}));
}
void reply_unknown_job(const net::ResponderPtr& responder) {
  reply_error(responder, 404, "no such job");
}

KeyReadResult to_read_result(const StoreResponse& response, std::optional<JobPhase> phase) {
  if (phase) return {KeyReadResult::Kind::found, *phase};
  KeyReadResult result;
  if (response.status == 404) result.kind = KeyReadResult::Kind::absent;
  return result;
}
}  // namespace

void FinalPhaseCache::remember(const std::string& ref, JobPhase phase) {
  if (!phases_.emplace(ref, phase).second) return;
  order_.push_back(ref);
  if (order_.size() > max_final_phases) {
    phases_.erase(order_.front());
    order_.pop_front();
  }
}

std::optional<JobPhase> FinalPhaseCache::find(const std::string& ref) const {
  auto it = phases_.find(ref);
  return it == phases_.end() ? std::nullopt : std::make_optional(it->second);
}

bool SubmissionService::is_overloaded() const {
  // While the state service does not respond or has too many calls waiting, an immediate refusal is better
  // for the user than a request that is held until it times out.
  return !is_ready() || store_.backlog() >= max_waiting_calls ||
         store_.unresponsive_for() >= unresponsive_after_s;
}

void SubmissionService::advance(const PendingQueryPtr& pending, QueryStep step) {
  switch (step) {
    case QueryStep::wait_for_replica:
      return wait_for_replica(pending);
    case QueryStep::read_live:
    case QueryStep::read_final:
      return read_key(pending, step);
    case QueryStep::answer:
    case QueryStep::absent:
    case QueryStep::refuse:
      return pending->on_done(step);
  }
}

void SubmissionService::wait_for_replica(const PendingQueryPtr& pending) {
  // With a thousand live jobs, one read per poll would use up the state service's request limit. The replica
  // can answer when it is known to be as current as the poll, so only jobs that are not live in it are read.
  when_replica_current([this, pending](bool is_current) {
    const Job* job = is_current ? state_.live_job(state_.find_job(pending->ref)) : nullptr;
    QueryStep next = pending->query.on_replica_current(
        is_current, job != nullptr ? std::make_optional(job->phase) : std::nullopt);
    // No key is read if the state service has become overloaded in the meantime.
    advance(pending, next != QueryStep::answer && is_overloaded() ? QueryStep::refuse : next);
  });
}

void SubmissionService::read_key(const PendingQueryPtr& pending, QueryStep step) {
  bool is_live_key = step == QueryStep::read_live;
  std::string key = is_live_key ? state::job_key(pending->ref) : state::final_key(pending->ref);
  store_.get(key, Urgency::user, [this, pending, is_live_key](const StoreResponse& response) {
    auto stored = response.status == 200 ? state::read_key(response.body) : std::nullopt;
    auto phase = stored ? state::read_phase(*stored->value) : std::nullopt;
    KeyReadResult result = to_read_result(response, phase);
    if (phase && is_live_key) {
      pending->revision = stored->revision;
      pending->value = *stored->value;
    }
    advance(pending,
            is_live_key ? pending->query.on_live_key_read(result) : pending->query.on_final_key_read(result));
  });
}

SubmissionService::PendingQueryPtr SubmissionService::make_query(const std::string& ref,
                                                                 QueryHandler on_done) {
  auto pending = std::make_shared<PendingQuery>();
  pending->ref = ref;
  // Captures a plain pointer, because with a shared one the query would own itself and never be freed.
  pending->on_done = [on_done = std::move(on_done), self = pending.get()](QueryStep step) {
    on_done(*self, step);
  };
  return pending;
}

void SubmissionService::query_keys(const std::string& ref, QueryHandler on_done) {
  auto pending = make_query(ref, std::move(on_done));
  advance(pending, pending->query.look_up());
}

void SubmissionService::reply_status(const std::string& ref, JobPhase phase,
                                     const net::ResponderPtr& responder) {
  if (phase != JobPhase::open) {
    remember_final_phase(ref, phase);
    responder->reply(200, wire::encode(wire::job_status(ref, name_of(phase), 0, 0)));
    return;
  }
  std::uint32_t done = 0, running = 0;
  if (const Job* job = state_.live_job(state_.find_job(ref))) {
    done = job->done_count;
    running = static_cast<std::uint32_t>(job->placements.size());
  }
  responder->reply(200,
                   wire::encode(wire::job_status(ref, running > 0 ? "running" : "queued", done, running)));
}

void SubmissionService::submit(const net::Request& request) {
  const net::ResponderPtr& responder = request.responder;
  auto body = wire::decode_map(request.body, wire::submission_rules);
  if (!body) return refuse_malformed(request, body, body.error());
  double first_attempt_at = first_attempts_.record_attempt(*body, wall_clock_());
  if (is_overloaded()) return reply_unavailable(responder);
  Admission admission = admit(*body, state_.names, state_.settings, state_.catalog, first_attempt_at);
  std::string ref = admission.submission.spec.ref;
  if (!admission.rejection) return commit_submission(ref, admission.record, responder);
  if (admission.is_permanent) return refuse_malformed(request, body, admission.rejection->reason);
  // A repeated submission of an accepted job is never rejected, even if the submission is not admissible now:
  // the catalog may have changed since the job was accepted.
  query_keys(ref, [this, ref, rejection = *admission.rejection, responder](const PendingQuery& pending,
                                                                           QueryStep step) {
    if (step == QueryStep::answer) return reply_status(ref, pending.query.phase(), responder);
    if (step == QueryStep::absent) return reply_error(responder, rejection.status, rejection.reason);
    reply_unavailable(responder);
  });
}

void SubmissionService::refuse_malformed(const net::Request& request, const wire::DecodedMap& body,
                                         const std::string& reason) {
  malformed_messages_.record({"submission", sender_in(body, "owner", request.peer_host), reason});
  reply_error(request.responder, 400, reason);
}

void SubmissionService::commit_submission(const std::string& ref, const Json& record,
                                          const net::ResponderPtr& responder) {
  store_.commit(submission_txn(ref, record), Urgency::user,
                [this, ref, responder](const StoreResponse& response) {
                  if (response.status == 200) {
                    SPDLOG_DEBUG("job accepted job={}", ref);
                    on_write(committed_revision(response.body));
                    return responder->reply(201, wire::encode({{"ref", ref}, {"phase", "queued"}}));
                  }
                  if (response.status != 409) return reply_unavailable(responder);
                  // The job exists already, so this is a repeated submission, which gets the job's status.
                  query_keys(ref, [this, ref, responder](const PendingQuery& pending, QueryStep step) {
                    if (step == QueryStep::answer) return reply_status(ref, pending.query.phase(), responder);
                    reply_unavailable(responder);
                  });
                });
}

void SubmissionService::poll(const std::string& ref, const net::ResponderPtr& responder) {
  if (!wire::valid_id(ref)) return reply_unknown_job(responder);
  std::optional<JobPhase> final_phase = final_phases_.find(ref);
  if (!final_phase && is_overloaded()) return reply_unavailable(responder);
  auto pending = make_query(ref, [this, ref, responder](const PendingQuery& query, QueryStep step) {
    if (step == QueryStep::answer) return reply_status(ref, query.query.phase(), responder);
    if (step == QueryStep::absent) return reply_unknown_job(responder);
    reply_unavailable(responder);
  });
  advance(pending, pending->query.poll(final_phase));
}

void SubmissionService::withdraw(const std::string& ref, const net::ResponderPtr& responder, int attempt) {
  if (!wire::valid_id(ref)) return reply_unknown_job(responder);
  if (is_overloaded()) return reply_unavailable(responder);
  query_keys(ref, [this, ref, responder, attempt](const PendingQuery& pending, QueryStep step) {
    if (step == QueryStep::absent) return reply_unknown_job(responder);
    if (step == QueryStep::refuse) return reply_unavailable(responder);
    if (pending.query.phase() != JobPhase::open)
      return reply_withdrawn(ref, pending.query.phase(), responder);
    commit_withdrawal(pending, responder, attempt);
  });
}

void SubmissionService::commit_withdrawal(const PendingQuery& pending, const net::ResponderPtr& responder,
                                          int attempt) {
  const std::string& job_ref = pending.ref;
  store_.commit(withdrawal_txn(job_ref, pending.value, pending.revision), Urgency::user,
                [this, ref = job_ref, responder, attempt](const StoreResponse& response) {
                  if (response.status == 200) {
                    SPDLOG_INFO("job withdrawn job={}", ref);
                    on_write(committed_revision(response.body));
                    reply_withdrawn(ref, JobPhase::cancelled, responder);
                  } else if (response.status == 409 && attempt < max_withdrawal_attempts) {
                    withdraw(ref, responder, attempt + 1);
                  } else {
                    reply_unavailable(responder);
                  }
                });
}

void SubmissionService::reply_withdrawn(const std::string& ref, JobPhase phase,
                                        const net::ResponderPtr& responder) {
  remember_final_phase(ref, phase);
  responder->reply(200, wire::encode({{"ref", ref}, {"phase", name_of(phase)}}));
}

}  // namespace oxbowmill::service
