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

bool Intake::overloaded(const net::ResponderPtr& to) const {
  // While the state service does not answer, or has more to do than it can, a refusal at once is the better
  // answer: nothing is held back in hope.
  if (ready() && store_.backlog() < most_backlog && store_.silent_for() < silent_s) return false;
  refuse(to);
  return true;
}

void Intake::look_up(const std::string& ref, std::function<void(const Found&)> fn) {
  // The job's own key first: it goes in the same transaction in which the final key comes, so a job that was
  // ever accepted is found under one of the two.
  store_.get(state::job_key(ref), Urgency::user, [this, ref, fn = std::move(fn)](const StoreAnswer& a) {
    Found f;
    if (a.status == 200 && a.body.contains("value")) {
      auto phase = state::read_phase(a.body["value"]);
      if (phase) {
        f.kind = Found::Kind::live;
        f.phase = *phase;
        f.stamp = a.body.value("stamp", Stamp{0});
        f.value = a.body["value"];
      }
      fn(f);
      return;
    }
    if (a.status != 404) {
      fn(f);
      return;
    }
    store_.get(state::final_key(ref), Urgency::user, [fn](const StoreAnswer& b) {
      Found g;
      if (b.status == 404) {
        g.kind = Found::Kind::none;
      } else if (b.status == 200 && b.body.contains("value")) {
        if (auto phase = state::read_phase(b.body["value"])) {
          g.kind = Found::Kind::final;
          g.phase = *phase;
        }
      }
      fn(g);
    });
  });
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
  if (overloaded(r.responder)) return;
  JobSpec spec;
  if (auto rejection = wire::read_submission(*body, model_.names, spec)) {
    return reject(r.responder, rejection->status, rejection->reason);
  }
  if (auto rejection = wire::check_runnable(spec, model_.settings, model_.catalog)) {
    return reject(r.responder, rejection->status, rejection->reason);
  }
  spec.submitted_at = wall_();
  Json value = state::job_value(spec, JobPhase::open, model_.names);
  if (static_cast<double>(value.dump().size()) > model_.settings.value_kb * 1024) {
    return reject(r.responder, 400, "too large");
  }
  std::string ref = spec.ref;
  // Guarded by both keys under which the job may be known: it is accepted once and never again.
  Json txn = {
      {"guards", {{{"k", state::job_key(ref)}, {"stamp", 0}}, {{"k", state::final_key(ref)}, {"stamp", 0}}}},
      {"apply", {{{"put", state::job_key(ref)}, {"value", value}}}}};
  store_.txn(txn, Urgency::user, [this, ref, to = r.responder](const StoreAnswer& a) {
    if (a.status == 200) {
      SPDLOG_DEBUG("job {}: accepted", ref);
      on_write(a.body.value("ledger_rev", Stamp{0}));
      to->reply(201, wire::encode({{"ref", ref}, {"phase", "queued"}}));
    } else if (a.status == 409) {
      look_up(ref, [this, ref, to](const Found& f) {
        if (f.kind == Found::Kind::live || f.kind == Found::Kind::final)
          return answer_status(ref, f.phase, to);
        refuse(to);
      });
    } else {
      refuse(to);
    }
  });
}

void Intake::poll(const std::string& ref, const net::ResponderPtr& to) {
  if (!wire::valid_id(ref)) return reject(to, 404, "no such job");
  auto known = finals_.find(ref);
  if (known != finals_.end()) return answer_status(ref, known->second, to);
  if (overloaded(to)) return;
  // A read each would take the state service's whole request limit at a thousand live jobs; the tables serve
  // as well once they are known to be as new as the poll. Only what is not live there is read.
  when_current([this, ref, to](bool current) {
    const Job* j = current ? model_.live_job(model_.find_job(ref)) : nullptr;
    if (j != nullptr) return answer_status(ref, j->phase, to);
    if (overloaded(to)) return;
    look_up(ref, [this, ref, to](const Found& f) {
      switch (f.kind) {
        case Found::Kind::live:
        case Found::Kind::final:
          return answer_status(ref, f.phase, to);
        case Found::Kind::none:
          return reject(to, 404, "no such job");
        case Found::Kind::unknown:
          return refuse(to);
      }
    });
  });
}

void Intake::withdraw(const std::string& ref, const net::ResponderPtr& to, int tries) {
  if (!wire::valid_id(ref)) return reject(to, 404, "no such job");
  if (overloaded(to)) return;
  auto answer = [this, ref, to](JobPhase phase) {
    note_final(ref, phase);
    to->reply(200, wire::encode({{"ref", ref}, {"phase", name_of(phase)}}));
  };
  look_up(ref, [this, ref, to, tries, answer](const Found& f) {
    if (f.kind == Found::Kind::none) return reject(to, 404, "no such job");
    if (f.kind == Found::Kind::unknown) return refuse(to);
    if (f.phase != JobPhase::open) return answer(f.phase);
    // One guarded write of the phase decides between done and cancelled.
    Json txn = {
        {"guards", {{{"k", state::job_key(ref)}, {"stamp", f.stamp}}}},
        {"apply",
         {{{"put", state::job_key(ref)}, {"value", state::with_phase(f.value, JobPhase::cancelled)}}}}};
    store_.txn(txn, Urgency::user, [this, ref, to, tries, answer](const StoreAnswer& a) {
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
