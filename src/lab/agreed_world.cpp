#include "oxbowmill/lab/agreed_world.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>
#include <random>

#include "oxbowmill/lab/crew.h"
#include "oxbowmill/yaml/map.h"

namespace oxbowmill::lab {

namespace {

constexpr double step_s = 0.5, hand_over_s = 4;
const std::vector<std::string> model_ways = {"always on", "fixed idle", "as it is", "bound"};
const std::vector<std::string> release_ways = {"unpaired", "by hand", "as it is"};

double quantile(std::vector<double> v, double q) {
  if (v.empty()) return 0;
  std::sort(v.begin(), v.end());
  return v[std::min(v.size() - 1, static_cast<std::size_t>(q * static_cast<double>(v.size())))];
}

/// Controllers in turn over one cluster, and tasks that end by themselves.
struct World {
  World(const AgreedScenario& scenario, std::uint64_t seed) : s(scenario), c(3), random(seed) {
    for (std::uint32_t i = 0; i < s.machines; ++i) {
      names.push_back("m" + std::to_string(100 + i));
      c.add_machine(names.back(), i % 2 == 0 ? "a" : "b", i % 3 == 0 ? "blue" : "red");
    }
    for (std::size_t i = 0; i < 3; ++i) {
      Settings& x = c.node(i).model.settings;
      x.teams[1].most = {};
      x.op.give_back_s = 2;
      x.op.idle_keep_s = 1e9;
    }
    owner_ends = s.owner_ends_s > 0 ? c.now + in(s.owner_ends_s) : 1e18;
  }
  double in(double mean) { return std::exponential_distribution<double>(1 / mean)(random); }
  double around(double median) {
    return median * std::exp2(std::uniform_real_distribution<double>(-1, 1)(random));
  }
  void submit(const std::string& ref, const std::string& cls, Shape shape, std::uint32_t tasks, double gpus,
              bool blue) {
    JobSpec j = test_job(ref, tasks, gpus);
    j.job_class = c.node(0).model.names.classes.intern(cls);
    j.shape = shape;
    j.part = PartIndex{blue ? 2U : 1U};
    if (shape == Shape::service) j.rank = Rank::production;
    came[ref] = c.now;
    c.submit(j);
  }
  /// Half a second: controllers, workers, and what runs long enough ends.
  void step(const std::function<double(const std::string&)>& runs_s) {
    if (c.now >= owner_ends) {
      c.hand_over(owner, (owner + 1) % 3, hand_over_s);
      owner = (owner + 1) % 3;
      owner_ends = c.now + in(s.owner_ends_s);
    }
    c.run(step_s, owner);
    for (const std::string& m : names) {
      Worker& w = c.worker(m);
      std::vector<std::string> over;
      for (const auto& [id, t] : w.tasks()) {
        if (t.phase == TaskPhase::ended) continue;
        auto [at, fresh] = on.try_emplace(id + "@" + std::to_string(t.attempt), c.now);
        if (fresh) first.try_emplace(t.job, c.now);
        double runs = runs_s(t.job);
        if (c.now - at->second >= runs) over.push_back(id);
      }
      for (const std::string& id : over) ended(id, w);
    }
  }
  std::function<void(const std::string& id, Worker& w)> ended;

  const AgreedScenario& s;
  Cluster c;
  std::mt19937_64 random;
  std::vector<std::string> names;
  std::map<std::string, double> came, first, on;
  std::size_t owner = 0;
  double owner_ends = 1e18;
};

AgreedRow play_model(const AgreedScenario& s, const std::string& way, std::uint64_t seed) {
  AgreedRow row{way, seed};
  World w(s, seed);
  models::Terms t = s.terms;
  if (way == "always on") t.least = 1;
  if (way == "fixed idle") t.idle_factor = 0;
  for (std::size_t i = 0; i < 3; ++i) w.c.node(i).agree({}, {1, {t}});
  w.submit("run-model", t.job_class, Shape::service, t.most, 4, false);
  for (const std::string& m : w.names) w.c.worker(m).first_phase = TaskPhase::fetching;
  w.ended = [](const std::string& id, Worker& worker) {
    bool replica = id.compare(0, 10, "run-model/") == 0;
    if (!replica) return worker.finish(id, EndCause::done);
    if (worker.phase(id) == TaskPhase::fetching) worker.set_phase(id, TaskPhase::running);
  };
  std::vector<std::pair<double, std::string>> calls;
  double end = w.c.now + s.length_s, next = w.c.now + w.in(s.every_s), replicas_s = 0;
  std::uint64_t epoch = 0, wrong_epochs = 0;
  std::map<std::uint64_t, std::set<std::string>> before_serving;
  while (w.c.now < end) {
    if (w.c.now >= next && w.c.now < end - 300) {
      for (std::uint32_t i = 0; i < s.burst; ++i) {
        calls.emplace_back(w.c.now, "run-call" + std::to_string(calls.size()));
        w.submit(calls.back().second, t.calls.at(0), Shape::array, 1, 1, i % 2 == 1);
      }
      next = w.c.now + w.in(s.every_s);
    }
    w.step([&](const std::string& job) { return job == "run-model" ? s.fetch_s : s.call_s; });
    auto record = w.c.state.keys().find("o/d/model/" + t.name);
    if (record == w.c.state.keys().end()) continue;
    std::uint64_t e = record->second.value.value("e", std::uint64_t{0});
    wrong_epochs += e > epoch + 1 ? 1 : 0;
    epoch = e;
    bool warms = record->second.value.at("s") == models::warming;
    for (const std::string& m : w.names) {
      for (const auto& [id, task] : w.c.worker(m).tasks()) {
        if (task.job != "run-model" || task.phase == TaskPhase::ended) continue;
        replicas_s += step_s;
        if (warms) before_serving[e].insert(id + "@" + std::to_string(task.attempt));
      }
    }
  }
  std::vector<double> waits;
  std::vector<std::pair<double, double>> busy;
  for (const auto& [at, ref] : calls) {
    auto began = w.first.find(ref);
    if (began == w.first.end()) {
      ++row.broken;
      continue;
    }
    waits.push_back(way == "bound" ? 0 : began->second - at);
    busy.emplace_back(at, at + s.call_s);
  }
  row.epochs = static_cast<double>(epoch);
  std::vector<double> starts;
  for (const auto& [e, ids] : before_serving) starts.push_back(static_cast<double>(ids.size()));
  row.first_starts = starts.empty() ? 0 : *std::max_element(starts.begin(), starts.end());
  row.gpu_hours = replicas_s * 4 / 3600;
  if (way == "bound") {
    // Knows when calls come: a replica is there as they do, and stays where a cold start would cost more.
    double on = 0, until = -1e9;
    std::sort(busy.begin(), busy.end());
    for (const auto& [from, to] : busy) {
      on += from - until <= s.fetch_s
                ? std::max(0.0, to - std::max(until, from)) + std::max(0.0, from - until)
                : s.fetch_s + to - from;
      until = std::max(until, to);
    }
    row.gpu_hours = on * 4 / 3600;
    row.epochs = row.first_starts = 0;
  }
  row.wait_median = quantile(waits, 0.5);
  row.wait_95 = quantile(waits, 0.95);
  std::uint64_t changes = 0;
  for (std::size_t i = 0; i < 3; ++i) changes += w.c.node(i).accord->sent();
  row.changes = static_cast<double>(changes) * 60 / s.length_s;
  row.broken += static_cast<int>(w.c.log.twice.size() + wrong_epochs);
  return row;
}

AgreedRow play_release(const AgreedScenario& s, const std::string& way, std::uint64_t seed) {
  AgreedRow row{way, seed};
  World w(s, seed);
  bool paired = way == "as it is";
  for (std::size_t i = 0; i < 3; ++i) w.c.node(i).agree({});
  std::map<std::string, double> runs;
  w.ended = [](const std::string& id, Worker& worker) { worker.finish(id, EndCause::done); };
  const std::vector<std::string> editions = {"ar", "fr"};
  std::vector<double> to_publish;
  double stale = 0, total = 0;
  auto revisions = static_cast<std::uint64_t>(s.length_s / s.every_s);
  auto step = [&] { w.step([&](const std::string& job) { return runs.at(job); }); };
  auto done = [&](const std::string& ref) { return w.c.phase(ref) == "done"; };
  for (std::uint64_t r = 1; r <= revisions; ++r) {
    std::string tag = std::to_string(r);
    release::Terms t;
    t.name = "manual";
    t.revision = "r" + tag;
    for (const std::string& e : editions)
      t.editions.push_back({e, {{"run-" + e + tag, "", "", 1}}, {"run-pub-" + e + tag, "", "", 1}});
    for (std::size_t i = 0; i < 3 && paired; ++i) w.c.node(i).planner->load({r, {t}});
    for (const std::string& e : editions) {
      runs["run-" + e + tag] = w.around(s.render_s);
      runs["run-pub-" + e + tag] = w.around(s.publish_s);
      w.submit("run-" + e + tag, "render", Shape::array, 1, 4, e == "fr");
      if (paired) w.submit("run-pub-" + e + tag, "publish", Shape::array, 1, 1, e == "fr");
    }
    double rendered = -1, begun = w.c.now, looked = begun + s.hand_s;
    std::map<std::string, double> published;
    while (published.size() < 2 && w.c.now < begun + 4 * s.every_s + s.hand_s) {
      step();
      bool all = done("run-ar" + tag) && done("run-fr" + tag);
      if (all && rendered < 0) rendered = w.c.now;
      bool looks = w.c.now >= looked;
      if (looks) looked += s.hand_s;
      for (const std::string& e : editions) {
        std::string pub = "run-pub-" + e + tag;
        bool go = way == "unpaired" ? done("run-" + e + tag) : way == "by hand" && all && looks;
        if (go && w.came.count(pub) == 0) w.submit(pub, "publish", Shape::array, 1, 1, e == "fr");
        if (w.first.count(pub) != 0 && !all && way != "unpaired") ++row.broken;
        if (w.came.count(pub) != 0 && done(pub)) published.emplace(e, w.c.now);
      }
      total += step_s;
      stale += published.size() == 1 ? step_s : 0;
    }
    if (published.size() < 2) {
      ++row.broken;  // stranded
      continue;
    }
    if (way != "unpaired")
      to_publish.push_back(std::max(w.first.at("run-pub-ar" + tag), w.first.at("run-pub-fr" + tag)) -
                           rendered);
  }
  row.to_publish_median = quantile(to_publish, 0.5);
  row.to_publish_max = quantile(to_publish, 1);
  row.stale_share = total > 0 ? stale / total : 0;
  std::uint64_t changes = 0;
  for (std::size_t i = 0; i < 3; ++i) changes += w.c.node(i).accord->sent();
  row.changes = static_cast<double>(changes) * 60 / std::max(1.0, total);
  row.broken += static_cast<int>(w.c.log.twice.size());
  return row;
}

}  // namespace

AgreedScenario load_agreed(const std::string& file) {
  AgreedScenario s;
  yaml::Map r(file, "", yaml::load(file));
  s.terms.name = "chat";
  s.terms.job_class = "serve";
  s.terms.calls = {"call"};
  s.name = r.text("name");
  r.flag("releases", s.releases);
  r.get("length_s", s.length_s).get("owner_ends_s", s.owner_ends_s).get("machines", s.machines);
  r.get("every_s", s.every_s).get("burst", s.burst).get("call_s", s.call_s).get("fetch_s", s.fetch_s);
  r.get("render_s", s.render_s).get("publish_s", s.publish_s).get("hand_s", s.hand_s);
  r.get("most", s.terms.most).get("calls_per_replica", s.terms.calls_per_replica);
  r.get("idle_factor", s.terms.idle_factor).get("idle_floor_s", s.terms.idle_floor_s);
  r.done();
  return s;
}

std::vector<AgreedRow> play_agreed(const AgreedScenario& s, unsigned seeds, unsigned threads) {
  std::vector<AgreedRow> rows;
  for (unsigned seed = 1; seed <= seeds; ++seed) {
    for (const std::string& w : s.releases ? release_ways : model_ways) rows.push_back({w, seed});
  }
  in_parallel(rows.size(), threads, [&](std::size_t i) {
    rows[i] =
        s.releases ? play_release(s, rows[i].way, rows[i].seed) : play_model(s, rows[i].way, rows[i].seed);
  });
  return rows;
}

std::string table(const AgreedScenario& s, const std::vector<AgreedRow>& rows) {
  std::string out = s.name + ", medians over seeds\n";
  out += s.releases ? "way          to publish  worst  stale  changes/min  broken\n"
                    : "way          epochs  first starts  wait  wait 95%  GPU hours  changes/min  broken\n";
  for (const std::string& way : s.releases ? release_ways : model_ways) {
    auto median = [&](double AgreedRow::*field) {
      std::vector<double> v;
      for (const AgreedRow& r : rows) {
        if (r.way == way) v.push_back(r.*field);
      }
      return quantile(std::move(v), 0.5);
    };
    int broken = 0;
    double worst = 0, most_starts = 0;
    for (const AgreedRow& r : rows) {
      if (r.way != way) continue;
      broken += r.broken;
      worst = std::max(worst, r.to_publish_max);
      most_starts = std::max(most_starts, r.first_starts);
    }
    if (s.releases) {
      out += fmt::format("{:<12} {:>10.1f} {:>6.1f} {:>6.3f} {:>12.2f} {:>7}\n", way,
                         median(&AgreedRow::to_publish_median), worst, median(&AgreedRow::stale_share),
                         median(&AgreedRow::changes), broken);
    } else {
      out += fmt::format("{:<12} {:>6.0f} {:>13.0f} {:>5.1f} {:>9.1f} {:>10.2f} {:>12.2f} {:>7}\n", way,
                         median(&AgreedRow::epochs), most_starts, median(&AgreedRow::wait_median),
                         median(&AgreedRow::wait_95), median(&AgreedRow::gpu_hours),
                         median(&AgreedRow::changes), broken);
    }
  }
  return out;
}

}  // namespace oxbowmill::lab
