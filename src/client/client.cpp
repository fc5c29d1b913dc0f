#include "oxbowmill/client/client.h"

#include <chrono>

namespace oxbowmill::client {

using wire::Json;

namespace {
constexpr double poll_every_s = 5, poll_answer_s = 2, least_pause_s = 0.05;

double now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

std::string words_of(Verdict v) {
  switch (v) {
    case Verdict::ok:
      return "";
    case Verdict::malformed:
      return "malformed";
    case Verdict::impossible:
      return "can never run";
    case Verdict::unknown:
      return "no such job";
    case Verdict::again:
      return "no node took it in time";
  }
  return "";
}

Reply read(const net::Response& r) {
  Reply o;
  o.verdict = verdict_of(r.status);
  o.reason = words_of(o.verdict);
  auto body = wire::decode_map(r.body);
  if (o.verdict == Verdict::ok) {
    // A 200 that cannot be read is no answer.
    bool good = body && body->contains("ref") && (*body)["ref"].is_string() && body->contains("phase") &&
                (*body)["phase"].is_string();
    if (!good) return Reply{Verdict::again, {}, "an answer that cannot be read", 0, false};
    o.status.ref = (*body)["ref"].get<std::string>();
    o.status.phase = (*body)["phase"].get<std::string>();
    auto count = [&](const char* key) {
      return body->contains(key) && (*body)[key].is_number_unsigned() ? (*body)[key].get<std::uint32_t>()
                                                                      : 0U;
    };
    o.status.done = count("done");
    o.status.running = count("running");
  } else if (body && body->contains("error") && (*body)["error"].is_string()) {
    o.reason += ": " + (*body)["error"].get<std::string>();
  }
  return o;
}
}  // namespace

struct AsyncClient::Request {
  std::uint64_t id;
  evhttp_cmd_type method;
  std::string path, body;
  ReplyFn fn;
  Attempts attempts;
  Reply last;
  net::Timer timer;
};

AsyncClient::AsyncClient(event_base* base, std::vector<net::Address> nodes, Patience patience)
    : base_(base),
      nodes_(std::move(nodes)),
      patience_(patience),
      sweep_(base, [this] { over_.clear(); }),
      alive_(std::make_shared<bool>(true)) {}

AsyncClient::~AsyncClient() {
  *alive_ = false;
}

void AsyncClient::start(evhttp_cmd_type method, std::string path, std::string body, Patience patience,
                        ReplyFn fn) {
  std::uint64_t id = ++next_;
  auto r =
      std::unique_ptr<Request>(new Request{id,
                                           method,
                                           std::move(path),
                                           std::move(body),
                                           std::move(fn),
                                           Attempts(nodes_.size(), patience, std::random_device{}(), now()),
                                           {},
                                           net::Timer(base_, [this, id] {
                                             auto it = requests_.find(id);
                                             if (it == requests_.end()) return;
                                             it->second->attempts.tick(now());
                                             go_on(*it->second);
                                           })});
  Request& started = *r;
  requests_[id] = std::move(r);
  // Not before the caller has its thread back.
  started.timer.after(0);
}

void AsyncClient::go_on(Request& r) {
  double t = now();
  switch (r.attempts.state()) {
    case AttemptState::ready: {
      double within = r.attempts.answer_within(t);
      std::size_t node = r.attempts.node();
      r.attempts.on_sent(t);
      net::send_once(base_, nodes_[node], r.method, r.path, r.body, within,
                     [this, id = r.id, alive = alive_](const net::Response& a) {
                       if (!*alive) return;
                       auto it = requests_.find(id);
                       if (it == requests_.end()) return;
                       Request& req = *it->second;
                       req.last = read(a);
                       int status = req.last.verdict == Verdict::again && a.status == 200 ? 0 : a.status;
                       req.attempts.on_answer(status, a.retry_after_s, now());
                       req.timer.after(0);
                     });
      return;
    }
    case AttemptState::sent:
      return;
    case AttemptState::backing_off:
      r.timer.after(std::max(0.001, r.attempts.next_at() - t));
      return;
    case AttemptState::answered:
      return finish(r, r.last);
    case AttemptState::gave_up: {
      Reply o = r.last;
      o.verdict = Verdict::again;
      if (o.reason.empty()) o.reason = words_of(Verdict::again);
      return finish(r, std::move(o));
    }
  }
}

void AsyncClient::finish(Request& r, Reply o) {
  o.tries = r.attempts.sent();
  ReplyFn fn = std::move(r.fn);
  // Its timer is what called us: it goes when that has returned.
  auto it = requests_.find(r.id);
  over_.push_back(std::move(it->second));
  requests_.erase(it);
  sweep_.after(0);
  fn(o);
}

void AsyncClient::submit(const Json& job, ReplyFn fn) {
  start(EVHTTP_REQ_POST, "/submissions", wire::encode(job), patience_, std::move(fn));
}

void AsyncClient::poll(const std::string& ref, ReplyFn fn) {
  Patience p = patience_;
  p.answer_s = std::min(p.answer_s, poll_answer_s);
  start(EVHTTP_REQ_GET, "/submissions/" + ref, "", p, std::move(fn));
}

void AsyncClient::withdraw(const std::string& ref, ReplyFn fn) {
  start(EVHTTP_REQ_POST, "/submissions/" + ref + "/withdraw", "", patience_, std::move(fn));
}

struct AsyncClient::Waiting {
  std::string ref;
  double ends_at;
  ReplyFn progress, fn;
  net::Timer timer;
};

void AsyncClient::wait(const std::string& ref, double within_s, ReplyFn progress, ReplyFn fn) {
  std::uint64_t id = ++next_;
  waits_[id] = std::unique_ptr<Waiting>(new Waiting{ref, now() + within_s, std::move(progress), std::move(fn),
                                                    net::Timer(base_, [this, id] { ask_again(id); })});
  ask_again(id);
}

void AsyncClient::ask_again(std::uint64_t id) {
  poll(waits_.at(id)->ref, [this, id](const Reply& o) {
    auto it = waits_.find(id);
    Waiting& w = *it->second;
    bool over = o.verdict == Verdict::ok ? o.status.final_phase() : !may_try_again(o.verdict);
    double left = w.ends_at - now();
    if (!over && left > 0) {
      if (w.progress && o.verdict == Verdict::ok) w.progress(o);
      w.timer.after(std::min(poll_every_s, std::max(least_pause_s, left)));
      return;
    }
    Reply last = o;
    if (!over) {
      last.verdict = Verdict::again;
      last.reason = "not over in time";
      last.out_of_time = true;
    }
    ReplyFn fn = std::move(w.fn);
    waits_.erase(it);
    fn(last);
  });
}

Reply Client::run(const std::function<void(AsyncClient&, ReplyFn)>& call) const {
  auto base = net::make_base();
  Reply out;
  AsyncClient async(base.get(), nodes_, patience_);
  call(async, [&](const Reply& o) {
    out = o;
    event_base_loopbreak(base.get());
  });
  event_base_dispatch(base.get());
  return out;
}

Reply Client::submit(const Json& job) const {
  return run([&](AsyncClient& c, ReplyFn fn) { c.submit(job, std::move(fn)); });
}
Reply Client::poll(const std::string& ref) const {
  return run([&](AsyncClient& c, ReplyFn fn) { c.poll(ref, std::move(fn)); });
}
Reply Client::withdraw(const std::string& ref) const {
  return run([&](AsyncClient& c, ReplyFn fn) { c.withdraw(ref, std::move(fn)); });
}
Reply Client::wait(const std::string& ref, double within_s, const ReplyFn& progress) const {
  return run([&](AsyncClient& c, ReplyFn fn) { c.wait(ref, within_s, progress, std::move(fn)); });
}

}  // namespace oxbowmill::client
