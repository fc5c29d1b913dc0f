#include "oxbowmill/service/submission_service.h"

#include <spdlog/spdlog.h>

namespace oxbowmill::service {

using state::StoreResponse;
using wire::Json;

namespace {
constexpr std::size_t max_final_phases = 20000;
constexpr int retry_after_s = 1;
constexpr int max_withdrawal_attempts = 5;
constexpr std::size_t max_backlog = 200;
constexpr double unresponsive_after_s = 0.8;

void reply_unavailable(const net::ResponderPtr& responder) {
  responder->reply(503, "", retry_after_s);
}
void reply_error(const net::ResponderPtr& responder, int status, const std::string& reason) {
  responder->reply(status, wire::encode({{"error", reason}}));
}
}  // namespace

void SubmissionService::remember_final_phase(const std::string& ref, JobPhase phase) {
  if (!final_phases_.emplace(ref, phase).second) return;
  final_phase_order_.push_back(ref);
  if (final_phase_order_.size() > max_final_phases) {
    final_phases_.erase(final_phase_order_.front());
    final_phase_order_.pop_front();
  }
}

bool SubmissionService::overloaded() const {
  // While the state service does not answer, or has more to do than it can, a refusal at once is the better
  // answer: nothing is held back in hope.
  return !ready() || store_.backlog() >= max_backlog || store_.unresponsive_for() >= unresponsive_after_s;
}

void SubmissionService::advance(const PendingQueryPtr& pending, QueryStep step) {
  using Kind = KeyReadResult::Kind;
  switch (step) {
    case QueryStep::wait_for_replica:
      // A read each would take the state service's whole request limit at a thousand live jobs; the tables
      // serve as well once they are known to be as new as the poll. Only what is not live there is read.
      return when_replica_current([this, pending](bool current) {
        const Job* j = current ? state_.live_job(state_.find_job(pending->ref)) : nullptr;
        QueryStep next = pending->query.on_replica_current(
            current, j != nullptr ? std::make_optional(j->phase) : std::nullopt);
        // It has waited: whether there is anything to be read now is another question.
        advance(pending, next != QueryStep::answer && overloaded() ? QueryStep::refuse : next);
      });
    case QueryStep::read_live:
    case QueryStep::read_final: {
      bool live = step == QueryStep::read_live;
      std::string key = live ? state::job_key(pending->ref) : state::final_key(pending->ref);
      return store_.get(key, Urgency::user, [this, pending, live](const StoreResponse& response) {
        KeyReadResult read_result;
        auto phase = response.status == 200 && response.body.contains("value")
                         ? state::read_phase(response.body["value"])
                         : std::nullopt;
        if (phase) {
          read_result = {Kind::found, *phase};
        } else if (response.status == 404) {
          read_result.kind = Kind::absent;
        }
        if (phase && live) {
          pending->revision = response.body.value("stamp", Revision{0});
          pending->value = response.body["value"];
        }
        advance(pending, live ? pending->query.on_live_key_read(read_result)
                              : pending->query.on_final_key_read(read_result));
      });
    }
    case QueryStep::answer:
    case QueryStep::absent:
    case QueryStep::refuse:
      return pending->on_done(step);
  }
}

void SubmissionService::reply_status(const std::string& ref, JobPhase phase,
                                     const net::ResponderPtr& responder) {
  if (phase != JobPhase::open) {
    remember_final_phase(ref, phase);
    responder->reply(200, wire::encode(wire::job_status(ref, name_of(phase), 0, 0)));
    return;
  }
  std::uint32_t done = 0, running = 0;
  if (Job* j = state_.live_job(state_.find_job(ref))) {
    done = j->done_count;
    running = static_cast<std::uint32_t>(j->placements.size());
  }
  responder->reply(200,
                   wire::encode(wire::job_status(ref, running > 0 ? "running" : "queued", done, running)));
}

void SubmissionService::submit(const net::Request& request) {
  auto body = wire::decode_map(request.body);
  if (!body) return reply_error(request.responder, 400, "not a CBOR map within the size limit");
  double first = first_attempts_.record_attempt(*body, wall_clock_());
  if (overloaded()) return reply_unavailable(request.responder);
  Admission admission = admit(*body, state_.names, state_.settings, state_.catalog, first);
  std::string ref = admission.spec.ref;
  if (admission.rejection && admission.is_permanent)
    return reply_error(request.responder, admission.rejection->status, admission.rejection->reason);
  if (admission.rejection) {
    // A repeat of a job that was accepted is never turned down, whatever this node thinks of it now: judged
    // by a catalog that had changed since, it was told 422.
    return query_keys(ref, [this, ref, why = *admission.rejection, to = request.responder](
                               const PendingQuery& pending, QueryStep found) {
      if (found == QueryStep::answer) return reply_status(ref, pending.query.phase(), to);
      found == QueryStep::absent ? reply_error(to, why.status, why.reason) : reply_unavailable(to);
    });
  }
  store_.commit(submission_txn(ref, admission.record), Urgency::user,
                [this, ref, responder = request.responder](const StoreResponse& response) {
                  if (response.status == 200) {
                    SPDLOG_DEBUG("job {}: accepted", ref);
                    on_write(response.body.value("ledger_rev", Revision{0}));
                    responder->reply(201, wire::encode({{"ref", ref}, {"phase", "queued"}}));
                  } else if (response.status == 409) {
                    query_keys(ref, [this, ref, responder](const PendingQuery& pending, QueryStep found) {
                      found == QueryStep::answer ? reply_status(ref, pending.query.phase(), responder)
                                                 : reply_unavailable(responder);
                    });
                  } else {
                    reply_unavailable(responder);
                  }
                });
}

void SubmissionService::poll(const std::string& ref, const net::ResponderPtr& responder) {
  if (!wire::valid_id(ref)) return reply_error(responder, 404, "no such job");
  auto known = final_phases_.find(ref);
  bool remembered = known != final_phases_.end();
  if (!remembered && overloaded()) return reply_unavailable(responder);
  auto pending = std::make_shared<PendingQuery>();
  pending->ref = ref;
  pending->on_done = [this, ref, responder, e = &pending->query](QueryStep found) {
    if (found == QueryStep::answer) return reply_status(ref, e->phase(), responder);
    found == QueryStep::absent ? reply_error(responder, 404, "no such job") : reply_unavailable(responder);
  };
  advance(pending, pending->query.poll(remembered ? std::make_optional(known->second) : std::nullopt));
}

void SubmissionService::query_keys(const std::string& ref,
                                   std::function<void(const PendingQuery&, QueryStep)> fn) {
  auto q = std::make_shared<PendingQuery>();
  q->ref = ref;
  q->on_done = [fn = std::move(fn), self = q.get()](QueryStep found) { fn(*self, found); };
  advance(q, q->query.look_up());
}

void SubmissionService::withdraw(const std::string& ref, const net::ResponderPtr& responder, int tries) {
  if (!wire::valid_id(ref)) return reply_error(responder, 404, "no such job");
  if (overloaded()) return reply_unavailable(responder);
  auto answer = [this, ref, responder](JobPhase phase) {
    remember_final_phase(ref, phase);
    responder->reply(200, wire::encode({{"ref", ref}, {"phase", name_of(phase)}}));
  };
  query_keys(ref, [this, ref, responder, tries, answer](const PendingQuery& pending, QueryStep found) {
    if (found == QueryStep::absent) return reply_error(responder, 404, "no such job");
    if (found == QueryStep::refuse) return reply_unavailable(responder);
    if (pending.query.phase() != JobPhase::open) return answer(pending.query.phase());
    store_.commit(withdrawal_txn(ref, pending.value, pending.revision), Urgency::user,
                  [this, ref, responder, tries, answer](const StoreResponse& response) {
                    if (response.status == 200) {
                      SPDLOG_INFO("job {}: cancelled by its user", ref);
                      on_write(response.body.value("ledger_rev", Revision{0}));
                      answer(JobPhase::cancelled);
                    } else if (response.status == 409 && tries < max_withdrawal_attempts) {
                      withdraw(ref, responder, tries + 1);
                    } else {
                      reply_unavailable(responder);
                    }
                  });
  });
}

}  // namespace oxbowmill::service
