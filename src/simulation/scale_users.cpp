#include "oxbowmill/simulation/scale_users.h"

#include <algorithm>

namespace oxbowmill::simulation {

using wire::Json;

namespace {

constexpr double tick_s = 0.02, counts_interval_s = 1;
constexpr double poll_every_s = 5, submit_timeout_s = 5, poll_timeout_s = 2, retry_after_s = 1,
                 give_up_s = 60;
constexpr double withdraws_within_s = 40;
constexpr std::size_t connections = 24;  // per controller

const char* wire_name(JobShape shape) {
  return shape == JobShape::array ? "batch" : shape == JobShape::gang ? "gang" : "standing";
}

const char* wire_name(Priority rank) {
  static constexpr const char* names[] = {"best_effort", "standard", "high", "production"};
  return names[static_cast<int>(rank)];
}

Json submission(const ScaleSettings& settings, const std::string& ref) {
  ScaleJob job = scale_job(settings, ref);
  const ScaleClass& kind = *job.job_class;
  return {{"ref", ref},
          {"jobclass", kind.name},
          {"owner", "team-" + std::to_string(job.team)},
          {"shape", wire_name(kind.shape)},
          {"rank", wire_name(kind.priority)},
          {"shards", kind.tasks},
          {"vcpus", kind.resources.cpus},
          {"accelerators", kind.resources.gpus},
          {"memory_gb", kind.resources.memory_gb},
          {"bundle", kind.name + std::to_string(job.image)},
          {"size_gb", kind.image_gb},
          {"rigs", nullptr},
          {"yard", nullptr},
          {"same_place", false},
          {"scatter", false},
          {"loaners", false},
          {"runtime_s", kind.shape == JobShape::service ? 0.0 : kind.run_s},
          {"save_every_s", 0.0},
          {"flush_s", 0.0},
          {"due_s", nullptr}};
}

JobAnswer answer_of(const net::Response& response) {
  if (response.status == 404) return JobAnswer::not_found;
  if (response.status == 400 || response.status == 422) return JobAnswer::rejected;
  if (response.status != 200 && response.status != 201) return JobAnswer::no_answer;
  Json body = Json::from_cbor(response.body, true, false);
  std::string phase = body.is_object() ? body.value("phase", "") : "";
  return phase == "done" ? JobAnswer::done : phase == "cancelled" ? JobAnswer::cancelled : JobAnswer::open;
}

}  // namespace

ScaleUsers::ScaleUsers(event_base* base, const ScaleSettings& settings, const ScaleAddresses& addresses,
                       ScaleEventWriter& events, std::function<double()> now)
    : settings_(settings),
      events_(events),
      now_(std::move(now)),
      random_(settings.seed + 1),
      arrived_(settings.classes.size()),
      timer_(base, [this] { tick(); }) {
  for (std::size_t i = 0; i < settings.controllers; ++i)
    controllers_.push_back(std::make_unique<net::HttpClient>(base, addresses.controller(i), connections));
  double now_s = expected_tick_ = now_();
  for (std::size_t c = 0; c < settings.classes.size(); ++c) {
    const ScaleClass& kind = settings.classes[c];
    for (std::uint32_t i = 0; i < kind.initial; ++i) arrive(c, now_s);
    next_arrival_.push_back(now_s);
  }
  timer_.schedule(tick_s);
}

void ScaleUsers::arrive(std::size_t class_index, double now) {
  auto user = std::make_unique<User>();
  user->ref = scale_job_ref(class_index, arrived_[class_index]++);
  user->first_attempt_at = now;
  user->next_request_at = now;
  if (scale_job(settings_, user->ref).withdrawn)
    user->withdraws_at = now + std::uniform_real_distribution<double>(0.5, withdraws_within_s)(random_);
  ScaleEvent event;
  event.kind = ScaleEventKind::job_submitted;
  event.job = user->ref;
  events_.write(event);
  users_.push_back(std::move(user));
}

void ScaleUsers::tick() {
  double now = now_();
  max_lateness_s_ = std::max(max_lateness_s_, now - expected_tick_);
  for (std::size_t class_index = 0; class_index < settings_.classes.size(); ++class_index) {
    double rate = settings_.classes[class_index].rate;
    while (rate > 0 && next_arrival_[class_index] <= now) {
      next_arrival_[class_index] += std::exponential_distribution<double>(rate)(random_);
      arrive(class_index, now);
    }
  }
  auto over = [](const std::unique_ptr<User>& user) {
    return user->step == Step::finished && !user->request_pending;
  };
  users_.erase(std::remove_if(users_.begin(), users_.end(), over), users_.end());
  for (const auto& user : users_) {
    if (!user->request_pending && now >= user->next_request_at) act(*user, now);
  }
  if (now >= next_counts_at_) write_counts();
  expected_tick_ = now_() + tick_s;
  timer_.schedule(tick_s);
}

void ScaleUsers::act(User& user, double now) {
  bool calls_off = user.step == Step::polling && user.withdraws_at >= 0 && now >= user.withdraws_at;
  if (calls_off) {
    user.step = Step::withdrawing;
    ScaleEvent event;
    event.kind = ScaleEventKind::job_withdrawn;
    event.job = user.ref;
    events_.write(event);
  }
  ++requests_;
  user.request_pending = true;
  switch (user.step) {
    case Step::submitting:
      return submit(user);
    case Step::polling:
      return poll(user);
    case Step::withdrawing:
      return withdraw(user);
    case Step::finished:
      user.request_pending = false;
  }
}

net::HttpClient& ScaleUsers::any_controller() {
  return *controllers_[std::uniform_int_distribution<std::size_t>(0, controllers_.size() - 1)(random_)];
}

void ScaleUsers::submit(User& user) {
  std::string body = wire::encode(submission(settings_, user.ref));
  bytes_ += static_cast<double>(body.size());
  any_controller().send(
      EVHTTP_REQ_POST, "/submissions", std::move(body), submit_timeout_s,
      [this, &user](const net::Response& http_response) { on_submitted(user, http_response); });
}

void ScaleUsers::poll(User& user) {
  any_controller().send(
      EVHTTP_REQ_GET, "/submissions/" + user.ref, "", poll_timeout_s,
      [this, &user](const net::Response& http_response) { on_polled(user, http_response); });
}

void ScaleUsers::withdraw(User& user) {
  any_controller().send(
      EVHTTP_REQ_POST, "/submissions/" + user.ref + "/withdraw", "", submit_timeout_s,
      [this, &user](const net::Response& http_response) { on_withdrawn(user, http_response); });
}

void ScaleUsers::record_answer(const User& user, JobAnswer answer) {
  if (answer == JobAnswer::no_answer) ++refused_;
  ScaleEvent event;
  event.kind = ScaleEventKind::job_answered;
  event.job = user.ref;
  event.answer = answer;
  events_.write(event);
}

void ScaleUsers::on_submitted(User& user, const net::Response& response) {
  double now = now_();
  user.request_pending = false;
  bytes_ += static_cast<double>(response.body.size());
  JobAnswer answer = answer_of(response);
  record_answer(user, answer);
  if (answer == JobAnswer::open || answer == JobAnswer::done || answer == JobAnswer::cancelled) {
    ScaleEvent event;
    event.kind = ScaleEventKind::job_accepted;
    event.job = user.ref;
    event.value = 1000 * (now - user.first_attempt_at);
    events_.write(event);
    user.step = Step::polling;
    user.next_request_at = now + poll_every_s;
    if (user.withdraws_at >= 0) user.next_request_at = std::min(user.next_request_at, user.withdraws_at);
    return;
  }
  if (answer != JobAnswer::no_answer || now - user.first_attempt_at > give_up_s) user.step = Step::finished;
  user.next_request_at = now + std::max(retry_after_s, response.retry_after_s);
}

void ScaleUsers::on_polled(User& user, const net::Response& response) {
  user.request_pending = false;
  bytes_ += static_cast<double>(response.body.size());
  JobAnswer answer = answer_of(response);
  record_answer(user, answer);
  if (answer == JobAnswer::done || answer == JobAnswer::cancelled) user.step = Step::finished;
  user.next_request_at = now_() + poll_every_s;
  if (user.withdraws_at >= 0)
    user.next_request_at = std::min(user.next_request_at, std::max(now_(), user.withdraws_at));
}

void ScaleUsers::on_withdrawn(User& user, const net::Response& response) {
  user.request_pending = false;
  JobAnswer answer = answer_of(response);
  record_answer(user, answer);
  if (answer == JobAnswer::done || answer == JobAnswer::cancelled) user.step = Step::finished;
  user.next_request_at = now_() + retry_after_s;
}

void ScaleUsers::write_counts() {
  next_counts_at_ = now_() + counts_interval_s;
  events_.counter("users_asked", requests_);
  events_.counter("users_refused", refused_);
  events_.counter("users_bytes", bytes_);
  events_.counter("users_late_s", max_lateness_s_);
  max_lateness_s_ = 0;
  events_.flush();
}

}  // namespace oxbowmill::simulation
