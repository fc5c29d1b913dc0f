#include "oxbowmill/simulation/scale_users.h"

#include <algorithm>

namespace oxbowmill::simulation {

using wire::Json;

namespace {

constexpr double tick_s = 0.02, counts_interval_s = 1;
constexpr double poll_interval_s = 5, submit_timeout_s = 5, poll_timeout_s = 2, min_retry_delay_s = 1,
                 give_up_after_s = 60;
constexpr double max_withdrawal_delay_s = 40;
constexpr std::size_t connections_per_controller = 24;

const char* wire_name(JobShape shape) {
  return shape == JobShape::array ? "batch" : shape == JobShape::gang ? "gang" : "standing";
}

const char* wire_name(Priority priority) {
  static constexpr const char* names[] = {"best_effort", "standard", "high", "production"};
  return names[static_cast<int>(priority)];
}

Json submission(const ScaleSettings& settings, const std::string& ref) {
  ScaleJob job = scale_job(settings, ref);
  const ScaleClass& job_class = *job.job_class;
  return {{"ref", ref},
          {"jobclass", job_class.name},
          {"owner", "team-" + std::to_string(job.team)},
          {"shape", wire_name(job_class.shape)},
          {"rank", wire_name(job_class.priority)},
          {"shards", job_class.tasks},
          {"vcpus", job_class.resources.cpus},
          {"accelerators", job_class.resources.gpus},
          {"memory_gb", job_class.resources.memory_gb},
          {"bundle", job_class.name + std::to_string(job.image)},
          {"size_gb", job_class.image_gb},
          {"rigs", nullptr},
          {"yard", nullptr},
          {"same_place", false},
          {"scatter", false},
          {"loaners", false},
          {"runtime_s", job_class.shape == JobShape::service ? 0.0 : job_class.run_s},
          {"save_every_s", 0.0},
          {"flush_s", 0.0},
          {"due_s", nullptr}};
}

JobAnswer answer_of(const net::Response& response) {
  if (response.status == 404) return JobAnswer::not_found;
  if (response.status == 400 || response.status == 422) return JobAnswer::rejected;
  if (response.status != 200 && response.status != 201) return JobAnswer::no_answer;
  auto body = wire::decode_map(response.body);
  std::string phase = body ? body->value("phase", "") : "";
  return phase == "done" ? JobAnswer::done : phase == "cancelled" ? JobAnswer::cancelled : JobAnswer::open;
}

}  // namespace

ScaleUsers::ScaleUsers(event_base* base, const ScaleSettings& settings, const ScaleAddresses& addresses,
                       ScaleEventWriter& events, std::function<double()> now)
    : settings_(settings),
      events_(events),
      now_(std::move(now)),
      random_(settings.seed + 1),
      arrival_counts_(settings.classes.size()),
      timer_(base, [this] { tick(); }) {
  for (std::size_t i = 0; i < settings.controllers; ++i)
    controllers_.push_back(
        std::make_unique<net::HttpClient>(base, addresses.controller(i), connections_per_controller));
  double now_s = expected_tick_ = now_();
  for (std::size_t c = 0; c < settings.classes.size(); ++c) {
    const ScaleClass& job_class = settings.classes[c];
    for (std::uint32_t i = 0; i < job_class.initial; ++i) add_user(c, now_s);
    next_arrival_at_.push_back(now_s);
  }
  timer_.schedule(tick_s);
}

void ScaleUsers::add_user(std::size_t class_index, double now) {
  auto user = std::make_unique<User>();
  user->ref = scale_job_ref(class_index, arrival_counts_[class_index]++);
  user->first_attempt_at = now;
  user->next_request_at = now;
  if (scale_job(settings_, user->ref).withdrawn)
    user->withdraws_at = now + std::uniform_real_distribution<double>(0.5, max_withdrawal_delay_s)(random_);
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
    while (rate > 0 && next_arrival_at_[class_index] <= now) {
      next_arrival_at_[class_index] += std::exponential_distribution<double>(rate)(random_);
      add_user(class_index, now);
    }
  }
  auto is_finished = [](const std::unique_ptr<User>& user) {
    return user->step == UserStep::finished && !user->request_pending;
  };
  users_.erase(std::remove_if(users_.begin(), users_.end(), is_finished), users_.end());
  for (const auto& user : users_) {
    if (!user->request_pending && now >= user->next_request_at) send_next_request(*user, now);
  }
  if (now >= next_counts_at_) write_counts();
  expected_tick_ = now_() + tick_s;
  timer_.schedule(tick_s);
}

void ScaleUsers::send_next_request(User& user, double now) {
  bool withdrawal_due = user.step == UserStep::polling && user.withdraws_at >= 0 && now >= user.withdraws_at;
  if (withdrawal_due) {
    user.step = UserStep::withdrawing;
    ScaleEvent event;
    event.kind = ScaleEventKind::job_withdrawn;
    event.job = user.ref;
    events_.write(event);
  }
  ++request_count_;
  user.request_pending = true;
  switch (user.step) {
    case UserStep::submitting:
      return submit(user);
    case UserStep::polling:
      return poll(user);
    case UserStep::withdrawing:
      return withdraw(user);
    case UserStep::finished:
      user.request_pending = false;
  }
}

net::HttpClient& ScaleUsers::random_controller() {
  return *controllers_[std::uniform_int_distribution<std::size_t>(0, controllers_.size() - 1)(random_)];
}

void ScaleUsers::submit(User& user) {
  std::string body = wire::encode(submission(settings_, user.ref));
  transferred_bytes_ += static_cast<double>(body.size());
  random_controller().send(
      EVHTTP_REQ_POST, "/submissions", std::move(body), submit_timeout_s,
      [this, &user](const net::Response& http_response) { on_submitted(user, http_response); });
}

void ScaleUsers::poll(User& user) {
  random_controller().send(
      EVHTTP_REQ_GET, "/submissions/" + user.ref, "", poll_timeout_s,
      [this, &user](const net::Response& http_response) { on_polled(user, http_response); });
}

void ScaleUsers::withdraw(User& user) {
  random_controller().send(
      EVHTTP_REQ_POST, "/submissions/" + user.ref + "/withdraw", "", submit_timeout_s,
      [this, &user](const net::Response& http_response) { on_withdrawn(user, http_response); });
}

void ScaleUsers::record_answer(const User& user, JobAnswer answer) {
  if (answer == JobAnswer::no_answer) ++refused_count_;
  ScaleEvent event;
  event.kind = ScaleEventKind::job_answered;
  event.job = user.ref;
  event.answer = answer;
  events_.write(event);
}

void ScaleUsers::on_submitted(User& user, const net::Response& response) {
  double now = now_();
  user.request_pending = false;
  transferred_bytes_ += static_cast<double>(response.body.size());
  JobAnswer answer = answer_of(response);
  record_answer(user, answer);
  if (answer == JobAnswer::open || answer == JobAnswer::done || answer == JobAnswer::cancelled) {
    ScaleEvent event;
    event.kind = ScaleEventKind::job_accepted;
    event.job = user.ref;
    event.value = 1000 * (now - user.first_attempt_at);
    events_.write(event);
    user.step = UserStep::polling;
    user.next_request_at = now + poll_interval_s;
    if (user.withdraws_at >= 0) user.next_request_at = std::min(user.next_request_at, user.withdraws_at);
    return;
  }
  if (answer != JobAnswer::no_answer || now - user.first_attempt_at > give_up_after_s)
    user.step = UserStep::finished;
  user.next_request_at = now + std::max(min_retry_delay_s, response.retry_after_s);
}

void ScaleUsers::on_polled(User& user, const net::Response& response) {
  user.request_pending = false;
  transferred_bytes_ += static_cast<double>(response.body.size());
  JobAnswer answer = answer_of(response);
  record_answer(user, answer);
  if (answer == JobAnswer::done || answer == JobAnswer::cancelled) user.step = UserStep::finished;
  user.next_request_at = now_() + poll_interval_s;
  if (user.withdraws_at >= 0)
    user.next_request_at = std::min(user.next_request_at, std::max(now_(), user.withdraws_at));
}

void ScaleUsers::on_withdrawn(User& user, const net::Response& response) {
  user.request_pending = false;
  JobAnswer answer = answer_of(response);
  record_answer(user, answer);
  if (answer == JobAnswer::done || answer == JobAnswer::cancelled) user.step = UserStep::finished;
  user.next_request_at = now_() + min_retry_delay_s;
}

void ScaleUsers::write_counts() {
  next_counts_at_ = now_() + counts_interval_s;
  events_.counter("users_asked", request_count_);
  events_.counter("users_refused", refused_count_);
  events_.counter("users_bytes", transferred_bytes_);
  events_.counter("users_late_s", max_lateness_s_);
  max_lateness_s_ = 0;
  events_.flush();
}

}  // namespace oxbowmill::simulation
