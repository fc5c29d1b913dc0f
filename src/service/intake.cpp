#include "oxbowmill/service/intake.h"

#include <spdlog/spdlog.h>

namespace oxbowmill::service {

using state::StoreAnswer;
using wire::Json;

namespace {
constexpr std::size_t most_finals = 20000;
constexpr int retry_after_s = 1;
constexpr int most_tries = 5;
constexpr std::size_t most_backlog = 200;
constexpr double silent_s = 0.8;

void refuse(const net::ResponderPtr& to) {
  to->reply(503, "", retry_after_s);
}
void reject(const net::ResponderPtr& to, int status, const std::string& reason) {
  to->reply(status, wire::encode({{"error", reason}}));
}
}  // namespace

void Intake::note_final(const std::string& ref, JobPhase phase) {
  if (!finals_.emplace(ref, phase).second) return;
  finals_order_.push_back(ref);
  if (finals_order_.size() > most_finals) {
    finals_.erase(finals_order_.front());
    finals_order_.pop_front();
  }
}

bool Intake::overloaded() const {
  // While the state service does not answer, or has more to do than it can, a refusal at once is the better
  // answer: nothing is held back in hope.
  return !ready() || store_.backlog() >= most_backlog || store_.silent_for() >= silent_s;
}

void Intake::go_on(const QuestionPtr& q, EnquiryStep step) {
  using Kind = KeyRead::Kind;
  switch (step) {
    case EnquiryStep::wait_for_tables:
      // A read each would take the state service's whole request limit at a thousand live jobs; the tables
      // serve as well once they are known to be as new as the poll. Only what is not live there is read.
      return when_current([this, q](bool current) {
        const Job* j = current ? model_.live_job(model_.find_job(q->ref)) : nullptr;
        EnquiryStep next =
            q->enquiry.on_tables(current, j != nullptr ? std::make_optional(j->phase) : std::nullopt);
        // It has waited: whether there is anything to be read now is another question.
        go_on(q, next != EnquiryStep::answer && overloaded() ? EnquiryStep::refuse : next);
      });
    case EnquiryStep::read_live:
    case EnquiryStep::read_final: {
      bool live = step == EnquiryStep::read_live;
      std::string key = live ? state::job_key(q->ref) : state::final_key(q->ref);
      return store_.get(key, Urgency::user, [this, q, live](const StoreAnswer& a) {
        KeyRead r;
        auto phase =
            a.status == 200 && a.body.contains("value") ? state::read_phase(a.body["value"]) : std::nullopt;
        if (phase) {
          r = {Kind::found, *phase};
        } else if (a.status == 404) {
          r.kind = Kind::absent;
        }
        if (phase && live) {
          q->stamp = a.body.value("stamp", Stamp{0});
          q->value = a.body["value"];
        }
        go_on(q, live ? q->enquiry.on_live(r) : q->enquiry.on_final(r));
      });
    }
    case EnquiryStep::answer:
    case EnquiryStep::absent:
    case EnquiryStep::refuse:
      return q->done(step);
  }
}

void Intake::answer_status(const std::string& ref, JobPhase phase, const net::ResponderPtr& to) {
  if (phase != JobPhase::open) {
    note_final(ref, phase);
    to->reply(200, wire::encode(wire::job_status(ref, name_of(phase), 0, 0)));
    return;
  }
  std::uint32_t done = 0, running = 0;
  if (Job* j = model_.live_job(model_.find_job(ref))) {
    done = j->done;
    running = static_cast<std::uint32_t>(j->placed.size());
  }
  to->reply(200, wire::encode(wire::job_status(ref, running > 0 ? "running" : "queued", done, running)));
}

void Intake::submit(const net::Request& r) {
  auto body = wire::decode_map(r.body);
  if (!body) return reject(r.responder, 400, "not a CBOR map within the size limit");
  double first = tries_.tried(*body, wall_());
  if (overloaded()) return refuse(r.responder);
  Admission admission = admit(*body, model_.names, model_.settings, model_.catalog, first);
  std::string ref = admission.spec.ref;
  if (admission.rejection && admission.for_good)
    return reject(r.responder, admission.rejection->status, admission.rejection->reason);
  if (admission.rejection) {
    // A repeat of a job that was accepted is never turned down, whatever this node thinks of it now: judged
    // by a catalog that had changed since, it was told 422.
    return ask(
        ref, [this, ref, why = *admission.rejection, to = r.responder](const Question& q, EnquiryStep found) {
          if (found == EnquiryStep::answer) return answer_status(ref, q.enquiry.phase(), to);
          found == EnquiryStep::absent ? reject(to, why.status, why.reason) : refuse(to);
        });
  }
  store_.txn(submission_txn(ref, admission.record), Urgency::user,
             [this, ref, to = r.responder](const StoreAnswer& a) {
               if (a.status == 200) {
                 SPDLOG_DEBUG("job {}: accepted", ref);
                 on_write(a.body.value("ledger_rev", Stamp{0}));
                 to->reply(201, wire::encode({{"ref", ref}, {"phase", "queued"}}));
               } else if (a.status == 409) {
                 ask(ref, [this, ref, to](const Question& q, EnquiryStep found) {
                   found == EnquiryStep::answer ? answer_status(ref, q.enquiry.phase(), to) : refuse(to);
                 });
               } else {
                 refuse(to);
               }
             });
}

void Intake::poll(const std::string& ref, const net::ResponderPtr& to) {
  if (!wire::valid_id(ref)) return reject(to, 404, "no such job");
  auto known = finals_.find(ref);
  bool remembered = known != finals_.end();
  if (!remembered && overloaded()) return refuse(to);
  auto q = std::make_shared<Question>();
  q->ref = ref;
  q->done = [this, ref, to, e = &q->enquiry](EnquiryStep found) {
    if (found == EnquiryStep::answer) return answer_status(ref, e->phase(), to);
    found == EnquiryStep::absent ? reject(to, 404, "no such job") : refuse(to);
  };
  go_on(q, q->enquiry.poll(remembered ? std::make_optional(known->second) : std::nullopt));
}

void Intake::ask(const std::string& ref, std::function<void(const Question&, EnquiryStep)> fn) {
  auto q = std::make_shared<Question>();
  q->ref = ref;
  q->done = [fn = std::move(fn), self = q.get()](EnquiryStep found) { fn(*self, found); };
  go_on(q, q->enquiry.look_up());
}

void Intake::withdraw(const std::string& ref, const net::ResponderPtr& to, int tries) {
  if (!wire::valid_id(ref)) return reject(to, 404, "no such job");
  if (overloaded()) return refuse(to);
  auto answer = [this, ref, to](JobPhase phase) {
    note_final(ref, phase);
    to->reply(200, wire::encode({{"ref", ref}, {"phase", name_of(phase)}}));
  };
  ask(ref, [this, ref, to, tries, answer](const Question& q, EnquiryStep found) {
    if (found == EnquiryStep::absent) return reject(to, 404, "no such job");
    if (found == EnquiryStep::refuse) return refuse(to);
    if (q.enquiry.phase() != JobPhase::open) return answer(q.enquiry.phase());
    store_.txn(withdrawal_txn(ref, q.value, q.stamp), Urgency::user,
               [this, ref, to, tries, answer](const StoreAnswer& a) {
                 if (a.status == 200) {
                   SPDLOG_INFO("job {}: cancelled by its user", ref);
                   on_write(a.body.value("ledger_rev", Stamp{0}));
                   answer(JobPhase::cancelled);
                 } else if (a.status == 409 && tries < most_tries) {
                   withdraw(ref, to, tries + 1);
                 } else {
                   refuse(to);
                 }
               });
  });
}

}  // namespace oxbowmill::service
