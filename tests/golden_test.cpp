// Guards against a change of the encodings on the wire, of stored data, of settings or of program arguments,
// for example through a renamed identifier. Tests of encoders compare `name: bytes` lines of fixed data with
// a file in tests/golden, byte for byte. OXBOWMILL_WRITE_GOLDEN=1 rewrites those files; input_*, service.toml
// and operator.yaml are written by hand.
#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "oxbowmill/config/config.h"
#include "oxbowmill/service/admission.h"
#include "oxbowmill/service/peers.h"
#include "oxbowmill/service/write_queue.h"
#include "oxbowmill/simulation/simulated_cluster.h"
#include "oxbowmill/wire/market_codec.h"

namespace oxbowmill {
namespace {

using wire::Json;

std::string golden_path(const std::string& file) {
  return std::string(GOLDEN_DIR) + "/" + file;
}

/// Empty if the file cannot be opened.
std::optional<std::string> read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return std::nullopt;
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

std::string hex(const std::string& bytes) {
  static const char* digits = "0123456789abcdef";
  std::string out;
  for (char c : bytes) {
    auto byte = static_cast<unsigned char>(c);
    out += digits[byte >> 4];
    out += digits[byte & 15];
  }
  return out;
}

/// Collects `name: bytes` lines and compares them with a golden file.
class GoldenLines {
 public:
  void add(const std::string& name, const std::string& bytes) { text_ += name + ": " + bytes + "\n"; }
  /// Adds a message body as JSON and as CBOR bytes.
  void add_body(const std::string& name, const Json& body) {
    add(name, body.dump());
    add(name + " cbor", hex(wire::encode(body)));
  }
  /// Compares the lines with a golden file, after rewriting it if OXBOWMILL_WRITE_GOLDEN is 1.
  void expect_same(const std::string& file) const {
    const char* rewrite = std::getenv("OXBOWMILL_WRITE_GOLDEN");
    if (rewrite != nullptr && rewrite == std::string("1")) {
      std::ofstream(golden_path(file), std::ios::binary) << text_;
    }
    auto golden = read_file(golden_path(file));
    ASSERT_TRUE(golden) << "no golden file " << file;
    EXPECT_FALSE(golden->empty()) << file;
    EXPECT_EQ(text_, *golden) << file;
  }

 private:
  std::string text_;
};

/// Reads a file of hand-written inputs with one `name: JSON` per line.
std::vector<std::pair<std::string, Json>> read_inputs(const std::string& file) {
  std::vector<std::pair<std::string, Json>> inputs;
  std::ifstream in(golden_path(file));
  for (std::string line; std::getline(in, line);) {
    std::size_t colon = line.find(": ");
    Json body = colon == std::string::npos ? Json(Json::value_t::discarded)
                                           : Json::parse(line.substr(colon + 2), nullptr, false);
    EXPECT_FALSE(body.is_discarded()) << file << ": " << line;
    inputs.emplace_back(line.substr(0, colon), std::move(body));
  }
  EXPECT_FALSE(inputs.empty()) << file;
  return inputs;
}

Json input(const std::string& file, const std::string& name) {
  for (const auto& [input_name, body] : read_inputs(file)) {
    if (input_name == name) return body;
  }
  ADD_FAILURE() << file << " has no input " << name;
  return Json::object();
}

JobSpec full_job() {
  JobSpec spec = simulation::test_job("run-1", 70, 0.5);
  spec.shape = JobShape::gang;
  spec.priority = Priority::high;
  spec.image_gb = 6.25;
  spec.types = {TypeIndex{0}};
  spec.zone = ZoneIndex{1};
  spec.single_zone = spec.spread_zones = spec.spot = true;
  spec.estimate_s = 240;
  spec.checkpoint_interval_s = 30;
  spec.flush_s = 4;
  spec.deadline_s = 900;
  spec.submitted_at = 1700000000.5;
  return spec;
}

/// A job with only the required fields of a submission.
JobSpec minimal_job() {
  JobSpec spec = simulation::test_job("run-2", 1);
  spec.submitted_at = 1700000001;
  return spec;
}

/// A cluster state with the jobs, the machine and the market to which the records refer.
struct Tables {
  Tables() : cluster(simulation::test_settings("node-0"), simulation::test_names()) {
    for (const JobSpec& spec : {full_job(), minimal_job()}) {
      cluster.apply({JobKey{cluster.intern_job(spec.ref)}, JobRecord{spec, JobPhase::open}, 0}, 1, 0);
    }
    machine = cluster.intern_machine("host-1");
    north = cluster.names.markets.intern("north");
    job = cluster.find_job("run-1");
  }
  ClusterState cluster;
  MachineIndex machine;
  MarketIndex north;
  JobIndex job;
};

/// Adds the key and value of a record, and expects that decoding and encoding them again changes nothing.
void add_record(GoldenLines& lines, Tables& tables, const std::string& name, const Change& change) {
  std::string key = state::encode_key(change.key, tables.cluster);
  Json value = state::encode_value(change, tables.cluster);
  lines.add(name + " key", key);
  lines.add_body(name + " value", value);
  auto stored = wire::decode_map(wire::encode(value));
  ASSERT_TRUE(stored) << name;
  auto decoded = state::decode(key, &*stored, tables.cluster);
  if (std::holds_alternative<FinalPhaseKey>(change.key)) {
    EXPECT_FALSE(decoded) << "final phases are not live keys";
    EXPECT_TRUE(state::read_phase(*stored)) << name;
    return;
  }
  ASSERT_TRUE(decoded) << name;
  EXPECT_EQ(state::encode_key(decoded->key, tables.cluster), key) << name;
  EXPECT_EQ(state::encode_value(*decoded, tables.cluster), value) << name;
}

void add_job_records(GoldenLines& lines, Tables& tables) {
  for (JobPhase phase : {JobPhase::open, JobPhase::done, JobPhase::cancelled}) {
    add_record(lines, tables, std::string("job ") + name_of(phase),
               {JobKey{tables.job}, JobRecord{full_job(), phase}, 0});
    add_record(lines, tables, std::string("final ") + name_of(phase), {FinalPhaseKey{tables.job}, phase, 0});
  }
  add_record(lines, tables, "job bare",
             {JobKey{tables.cluster.find_job("run-2")}, JobRecord{minimal_job(), JobPhase::open}, 0});
}

void add_chunk_records(GoldenLines& lines, Tables& tables) {
  ChunkRecord chunk;
  add_record(lines, tables, "chunk bare", {ChunkKey{tables.job, 0}, chunk, 0});
  chunk.done = 0xdeadbeefcafef00d;
  chunk.restarted = 1ULL << 63;
  chunk.placements = {{64, tables.machine, (1ULL << 60) + 7, true, 12}, {65, tables.machine, 3, false, -1}};
  chunk.checkpoints[66] = {30, 45, 61};
  chunk.finishes = {{67, 12.5, 40}};
  add_record(lines, tables, "chunk full", {ChunkKey{tables.job, 1}, chunk, 0});
}

void add_machine_records(GoldenLines& lines, Tables& tables) {
  MachineRecord machine;
  machine.partition = PartitionIndex{0};
  machine.type = TypeIndex{0};
  machine.zone = ZoneIndex{0};
  add_record(lines, tables, "machine bare", {MachineKey{tables.machine}, machine, 0});
  machine.partition = PartitionIndex{1};
  machine.zone = ZoneIndex{1};
  machine.spot = machine.has_booted = true;
  machine.mark = MachineMark::deleting;
  machine.requested_by = PartitionIndex{2};
  machine.market = tables.north;
  machine.bid = "bid-1";
  add_record(lines, tables, "machine full", {MachineKey{tables.machine}, machine, 0});
}

void add_ownership_records(GoldenLines& lines, Tables& tables) {
  add_record(lines, tables, "claim pool", {OwnershipKey{idle_pool}, OwnershipRecord{"node-0", 9}, 9});
  add_record(lines, tables, "claim part", {OwnershipKey{PartitionIndex{1}}, OwnershipRecord{"node-0", 9}, 9});
  add_record(lines, tables, "node", {ControllerKey{"node-0"}, OwnershipRecord{"node-0", 9}, 9});
}

void add_accounting_records(GoldenLines& lines, Tables& tables) {
  BidRecord bid;
  bid.market = tables.north;
  bid.type = TypeIndex{0};
  bid.zone = ZoneIndex{1};
  bid.spot = true;
  bid.price_limit = 12'500'000;
  bid.max_paid_s = 1800;
  bid.send_before = 1700000100;
  bid.delivery_s = 45;
  bid.machines = {{PartitionIndex{1}, 2}, {PartitionIndex{2}, 3}};
  add_record(lines, tables, "bid", {BidKey{"bid-1"}, bid, 0});
  add_record(lines, tables, "ledger bare", {LedgerKey{}, LedgerRecord{}, 0});
  add_record(lines, tables, "ledger",
             {LedgerKey{}, LedgerRecord{19675, {{PartitionIndex{1}, 5}, {PartitionIndex{2}, 7}}}, 0});
  MarketRecord market;
  market.evidence = {1, 2, 3, 4, 5, 6, 7, 8};
  add_record(lines, tables, "market", {MarketKey{tables.north}, market, 0});
  market.suspended = true;
  market.reason = "overcharged";
  add_record(lines, tables, "market shut", {MarketKey{tables.north}, market, 0});
}

void add_decision_records(GoldenLines& lines, Tables& tables) {
  DecisionRecord decision;
  decision.state = "cold";
  decision.sequence = 1;
  decision.changed_at = 1700000000.5;
  add_record(lines, tables, "agreed bare", {DecisionKey{"model/chat"}, decision, 0});
  decision.version = 2;
  decision.epoch = 3;
  decision.reason = "idle";
  decision.counts = {{"replicas", 2}};
  decision.notes = {{"job", "run-1"}};
  add_record(lines, tables, "agreed full", {DecisionKey{"model/chat"}, decision, 0});
}

TEST(Golden, StateKeysAndValues) {
  GoldenLines lines;
  Tables tables;
  add_job_records(lines, tables);
  add_chunk_records(lines, tables);
  add_machine_records(lines, tables);
  add_ownership_records(lines, tables);
  add_accounting_records(lines, tables);
  add_decision_records(lines, tables);
  lines.add("live prefix", state::live_prefix);
  lines.add("catalog key", state::catalog_key);
  lines.add("pool name", state::idle_pool_name);
  lines.expect_same("state.txt");
}

TEST(Golden, StateTransactions) {
  GoldenLines lines;
  Tables tables;
  Json record = state::job_value(minimal_job(), JobPhase::open, tables.cluster.names);
  lines.add_body("submission", service::submission_txn("run-2", record));
  lines.add_body("withdrawal", service::withdrawal_txn("run-2", record, 41));
  Write write;
  write.id = 1;
  write.txn.guards = {{JobKey{tables.job}, 41}};
  write.txn.changes = {{JobKey{tables.job}, std::monostate(), 0},
                       {FinalPhaseKey{tables.job}, JobPhase::done, 0}};
  service::WriteQueue write_queue;
  lines.add_body("outbox", write_queue.get_or_create(write, tables.cluster).body);
  lines.expect_same("transactions.txt");
}

void add_kind(GoldenLines& lines, const decisions::DecisionKind& kind) {
  lines.add(kind.name, kind.key("x"));
  for (const decisions::DecisionKind::Transition& step : kind.transitions)
    lines.add(kind.name + " step", step.from + " > " + step.to);
}

std::string field_names(const Json& json) {
  std::string names;
  for (const auto& [key, value] : json.items())
    names += (names.empty() ? "" : " ") + key + (value.is_object() ? "{" + field_names(value) + "}" : "");
  return names;
}

release_calendar::ReleaseCalendar one_release() {
  release_calendar::ReleaseSpec release_spec;
  release_spec.name = "manual";
  release_spec.revision = "r1";
  release_spec.editions = {{"ar", {{"run-ar", "", "", 1}}, {"run-pub-ar", "", "", 1}},
                           {"fr", {{"", "class", "img", 2}}, {"", "publish", "img", 1}}};
  return {3, {release_spec}};
}

serving::Settings one_model() {
  serving::ModelSpec model_spec;
  model_spec.name = "chat";
  model_spec.job_class = "class";
  model_spec.call_classes = {"call"};
  model_spec.min_replicas = 1;
  return {1, {model_spec}};
}

TEST(Golden, DurableDecisions) {
  GoldenLines lines;
  for (const decisions::DecisionKind* kind :
       {&release_calendar::spec_kind(), &release_calendar::decision_kind(), &serving::decision_kind()})
    add_kind(lines, *kind);
  // The names of the notes and counts come from records that a controller writes.
  simulation::SimulatedCluster cluster(1);
  cluster.controller(0).enable_decisions(one_release(), one_model());
  cluster.add_machine("m1");
  JobSpec service_job = simulation::test_job("run-1", 1);
  service_job.shape = JobShape::service;
  cluster.submit(service_job);
  cluster.submit(simulation::test_job("run-ar", 1));
  cluster.run(15);
  for (const auto& [key, entry] : cluster.store.keys()) {
    if (key.rfind("o/d/", 0) == 0)
      lines.add(key, entry.value.at("s").get<std::string>() + " " + field_names(entry.value));
  }
  lines.expect_same("decisions.txt");
}

TEST(Golden, ReleaseSpecs) {
  GoldenLines lines;
  release_calendar::ReleaseSpec release_spec = one_release().releases[0];
  lines.add("bare", release_calendar::to_text(release_spec));
  release_spec.publish_time =
      release_calendar::ScheduledTime{"Africa/Tunis", {1, 4}, "", 21600, 7200, {"2027-01-01", "2027-03-20"}};
  lines.add("weekly", release_calendar::to_text(release_spec));
  release_spec.publish_time = release_calendar::ScheduledTime{"UTC", {}, "2026-12-24", 5, 0, {}};
  lines.add("dated", release_calendar::to_text(release_spec));
  for (const auto& [name, body] : read_inputs("input_terms.txt")) {
    auto read = release_calendar::from_text(body.dump());
    ASSERT_TRUE(read) << name;
    lines.add("read " + name, release_calendar::to_text(*read));
  }
  lines.expect_same("terms.txt");
}

TEST(Golden, JobBodiesWritten) {
  GoldenLines lines;
  Names names = simulation::test_names();
  lines.add_body("submission full", wire::write_submission(full_job(), names));
  lines.add_body("submission bare", wire::write_submission(minimal_job(), names));
  JobSpec spec = minimal_job();
  for (JobShape shape : {JobShape::array, JobShape::gang, JobShape::service}) {
    spec.shape = shape;
    lines.add("shape", wire::write_submission(spec, names).at("shape").dump());
  }
  for (Priority priority : {Priority::low, Priority::normal, Priority::high, Priority::production}) {
    spec.priority = priority;
    lines.add("rank", wire::write_submission(spec, names).at("rank").dump());
  }
  for (JobPhase phase : {JobPhase::open, JobPhase::done, JobPhase::cancelled})
    lines.add_body("status", wire::job_status("run-1", name_of(phase), 3, 4));
  lines.expect_same("job_bodies.txt");
}

TEST(Golden, AgentBodiesWritten) {
  GoldenLines lines;
  std::vector<AgentCommand> commands = {{CommandKind::start, "run-1", 3, 7, 0},
                                        {CommandKind::kill, "run-1", 4, 8, 2.5},
                                        {CommandKind::clear, "run-1", 5, 9, 0}};
  lines.add_body("answer ok", wire::write_report_answer({ReportAnswer::Kind::ok, "", 41, commands, false}));
  lines.add_body("answer bare", wire::write_report_answer({ReportAnswer::Kind::ok, "", 41, {}, false}));
  lines.add_body("answer redirect",
                 wire::write_report_answer({ReportAnswer::Kind::redirect, "node-1", 0, {}, true}));
  lines.add_body("direct", wire::write_direct_commands({MachineIndex{0}, 2, 41, commands}));
  lines.expect_same("worker_bodies.txt");
}

TEST(Golden, CloudBodiesWritten) {
  GoldenLines lines;
  Names names = simulation::test_names();
  MachineType type{{32, 4, 128}, 200, 0.5, 10, 3, 20, {}};
  lines.add_body("catalog", wire::write_catalog({{"std", type, {"a", "b"}}}));
  lines.add_body("rental",
                 wire::write_scale_out_request({"hire-1", TypeIndex{0}, ZoneIndex{1}, true, 3, {}}, names));
  lines.add_body("delete", wire::write_delete_request({"host-1", "host-2"}));
  lines.expect_same("cloud_bodies.txt");
}

TEST(Golden, SubmissionsRead) {
  GoldenLines lines;
  for (const auto& [name, body] : read_inputs("input_submissions.txt")) {
    Names names = simulation::test_names();
    JobSpec spec;
    auto rejection = wire::read_submission(body, names, spec);
    lines.add(name, rejection ? std::to_string(rejection->status) + " " + rejection->reason
                              : wire::write_submission(spec, names).dump());
  }
  lines.expect_same("submissions_read.txt");
}

TEST(Golden, SubmissionFieldsAreDecodedIntoTheJobSpec) {
  Json body = input("input_submissions.txt", "full");
  Names names = simulation::test_names();
  JobSpec spec;
  ASSERT_FALSE(wire::read_submission(body, names, spec));
  EXPECT_EQ(spec.ref, "run-000412");
  EXPECT_EQ(names.classes.name(spec.job_class), "train");
  EXPECT_EQ(names.images.name(spec.image), "img-07");
  EXPECT_EQ(names.partitions.name(spec.partition), "red");
  EXPECT_EQ(spec.shape, JobShape::gang);
  EXPECT_EQ(spec.priority, Priority::high);
  EXPECT_EQ(spec.tasks, 2U);
  EXPECT_EQ(spec.task_resources.cpus, 8);
  EXPECT_EQ(spec.task_resources.gpus, 1);
  EXPECT_EQ(spec.task_resources.memory_gb, 64);
  EXPECT_EQ(spec.image_gb, 6.25);
  EXPECT_EQ(spec.types, std::vector<TypeIndex>{TypeIndex{0}});
  EXPECT_EQ(spec.zone, ZoneIndex{1});
  EXPECT_TRUE(spec.single_zone);
  EXPECT_FALSE(spec.spread_zones);
  EXPECT_TRUE(spec.spot);
  EXPECT_EQ(spec.estimate_s, 240);
  EXPECT_EQ(spec.checkpoint_interval_s, 30);
  EXPECT_EQ(spec.flush_s, 4);
  EXPECT_EQ(spec.deadline_s, 900);
}

TEST(Golden, ReportsRead) {
  auto full = wire::read_report(input("input_reports.txt", "full"));
  ASSERT_TRUE(full);
  EXPECT_EQ(full->machine, "host-1");
  EXPECT_EQ(full->address, "10.1.0.1:9000");
  EXPECT_EQ(full->type, "std");
  EXPECT_EQ(full->zone, "b");
  EXPECT_TRUE(full->spot);
  EXPECT_EQ(full->agent_epoch, 2U);
  EXPECT_EQ(full->report_sequence, 8U);
  EXPECT_EQ(full->fencing_token, 41U);
  EXPECT_EQ(full->preemption_notice_s, 12.5);
  const std::vector<std::pair<TaskPhase, EndCause>> expected = {
      {TaskPhase::fetching, EndCause::none},
      {TaskPhase::gathering, EndCause::none},
      {TaskPhase::running, EndCause::none},
      {TaskPhase::saving, EndCause::none},
      {TaskPhase::ended, EndCause::done},
      {TaskPhase::ended, EndCause::stopped},
      {TaskPhase::ended, EndCause::peers_lost},
      {TaskPhase::ended, EndCause::gang_incomplete},
      {TaskPhase::ended, EndCause::error},
      {TaskPhase::ended, EndCause::no_capacity},
      {TaskPhase::ended, EndCause::attempt_conflict},
      {TaskPhase::ended, EndCause::unknown_task},
      {TaskPhase::ended, EndCause::error},  // unknown cause
  };
  ASSERT_EQ(full->tasks.size(), expected.size());
  for (std::size_t i = 0; i < expected.size(); ++i) {
    const TaskReport& task = full->tasks[i];
    EXPECT_EQ(task.job, "run-1");
    EXPECT_EQ(task.task, i);
    EXPECT_EQ(task.attempt, 100 + i);
    EXPECT_EQ(task.phase, expected[i].first) << i;
    EXPECT_EQ(task.cause, expected[i].second) << i;
    EXPECT_EQ(task.checkpoint_saved, i == 5) << i;
  }
  auto bare = wire::read_report(input("input_reports.txt", "bare"));
  ASSERT_TRUE(bare);
  EXPECT_LT(bare->preemption_notice_s, 0);
  EXPECT_FALSE(bare->spot);
  EXPECT_TRUE(bare->tasks.empty());
}

TEST(Golden, CloudAnswersRead) {
  const std::string file = "input_cloud.txt";
  auto catalog = wire::read_catalog(input(file, "catalog"));
  ASSERT_TRUE(catalog);
  ASSERT_EQ(catalog->size(), 1U);
  const wire::CatalogEntry& entry = catalog->front();
  EXPECT_EQ(wire::write_catalog(*catalog), input(file, "catalog"));
  EXPECT_EQ(entry.name, "std");
  EXPECT_EQ(entry.type.capacity.cpus, 32);
  EXPECT_EQ(entry.type.capacity.gpus, 4);
  EXPECT_EQ(entry.type.capacity.memory_gb, 128);
  EXPECT_EQ(entry.type.cache_gb, 200);
  EXPECT_EQ(entry.type.fetch_gb_per_s, 0.5);
  EXPECT_EQ(entry.type.price, 10);
  EXPECT_EQ(entry.type.spot_price, 3);
  EXPECT_EQ(entry.type.boot_s, 20);
  EXPECT_EQ(entry.zones, (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(wire::read_granted_machines(input(file, "hosts")),
            (std::vector<std::string>{"host-1", "host-2"}));
  auto page = wire::read_machine_list(input(file, "list"));
  ASSERT_TRUE(page);
  EXPECT_TRUE(page->has_more);
  ASSERT_EQ(page->machines.size(), 3U);
  using Phase = ListedMachine::Phase;
  const Phase phases[] = {Phase::starting, Phase::running, Phase::failed};
  for (std::size_t i = 0; i < 3; ++i) EXPECT_EQ(page->machines[i].phase, phases[i]) << i;
  const ListedMachine& listed = page->machines[1];
  EXPECT_EQ(listed.name, "host-2");
  EXPECT_EQ(listed.address, "10.1.0.2:9000");
  EXPECT_EQ(listed.type, "std");
  EXPECT_EQ(listed.zone, "b");
  EXPECT_TRUE(listed.spot);
  EXPECT_EQ(listed.age_s, 7.5);
}

market::Call market_call(market::CallKind kind) {
  market::Call call;
  call.kind = kind;
  call.kinds = {{TypeIndex{0}, ZoneIndex{1}, true}};
  call.bid_name = "bid-1";
  call.quote_id = "quote-1";
  call.count = 3;
  call.limit = 12'500'000;
  call.max_paid_s = 1800;
  call.deliver_within_s = 45;
  call.round = 2;
  call.rate = 11'250'000;
  call.hosts = {"north.1", "north.2"};
  call.after_charge_number = 17;
  return call;
}

TEST(Golden, MarketCallsWritten) {
  using Kind = market::CallKind;
  GoldenLines lines;
  const std::pair<const char*, Kind> calls[] = {
      {"quotes", Kind::quotes},   {"bid", Kind::bid},           {"status", Kind::status},
      {"confirm", Kind::confirm}, {"withdraw", Kind::withdraw}, {"give back", Kind::release},
      {"charges", Kind::charges},
  };
  for (const auto& [name, kind] : calls) {
    wire::MarketRequest request = wire::write_market_call(market_call(kind), simulation::test_names());
    lines.add(std::string(name) + " path", (request.is_post ? "POST " : "GET ") + request.path);
    lines.add_body(name, request.body);
  }
  lines.expect_same("market_calls.txt");
}

market::Answer market_answer(market::CallKind kind, const std::string& name) {
  std::string body = wire::encode(input("input_market.txt", name));
  return wire::read_market_answer(market_call(kind), 200, body, 0, simulation::test_names());
}

TEST(Golden, MarketQuotesAndChargesRead) {
  market::Answer quotes = market_answer(market::CallKind::quotes, "quotes");
  ASSERT_EQ(quotes.kind, market::AnswerKind::ok);
  ASSERT_EQ(quotes.quotes.size(), 1U);
  const market::QuoteUpdate& quote = quotes.quotes[0];
  EXPECT_EQ(quote.quote_id, "quote-1");
  EXPECT_EQ(quote.kind, (MachineKind{TypeIndex{0}, ZoneIndex{1}, true}));
  EXPECT_EQ(quote.count, 3U);
  EXPECT_EQ(quote.rate, 2.5);
  EXPECT_EQ(quote.valid_s, 4);
  EXPECT_EQ(quote.deliver_s, 45);
  market::Answer charges = market_answer(market::CallKind::charges, "charges");
  ASSERT_EQ(charges.kind, market::AnswerKind::ok);
  ASSERT_EQ(charges.charges.size(), 1U);
  EXPECT_EQ(charges.charges[0].number, 18U);
  EXPECT_EQ(charges.charges[0].bid_name, "bid-1");
  EXPECT_EQ(charges.charges[0].amount, 1'250'000);
  market::Answer returned = market_answer(market::CallKind::release, "returned");
  ASSERT_EQ(returned.kind, market::AnswerKind::ok);
  EXPECT_EQ(returned.returned_hosts, (std::vector<std::string>{"north.1", "north.2"}));
}

TEST(Golden, MarketBidsRead) {
  using Phase = market::AuctionPhase;
  const std::pair<const char*, Phase> phases[] = {
      {"open", Phase::open}, {"raised", Phase::raised},       {"won", Phase::won},
      {"lost", Phase::lost}, {"withdrawn", Phase::withdrawn}, {"closed", Phase::closed}};
  for (const auto& [name, phase] : phases) {
    market::Answer answer = market_answer(market::CallKind::status, name);
    ASSERT_EQ(answer.kind, market::AnswerKind::ok) << name;
    ASSERT_TRUE(answer.bid) << name;
    EXPECT_EQ(answer.bid->phase, phase) << name;
    EXPECT_EQ(answer.bid->charged_amount, 500'000) << name;
  }
  market::BidUpdate raised = *market_answer(market::CallKind::bid, "raised").bid;
  EXPECT_EQ(raised.round, 2U);
  EXPECT_EQ(raised.raised_rate, 3'000'000);
  market::BidUpdate won = *market_answer(market::CallKind::confirm, "won").bid;
  EXPECT_EQ(won.rate, 2'500'000);
  EXPECT_EQ(won.expected_machines, 1U);
  ASSERT_EQ(won.hosts.size(), 1U);
  EXPECT_EQ(won.hosts[0].name, "north.1");
  EXPECT_EQ(won.hosts[0].address, "10.2.0.1:9000");
  EXPECT_EQ(won.hosts[0].kind, (MachineKind{TypeIndex{0}, ZoneIndex{1}, true}));
}

TEST(Golden, PeerUpdates) {
  GoldenLines lines;
  service::PeerUpdate full{"node-1", 1ULL << 40, true, {"a", "b"}, {{"red", 7, 2, 9, 3}}, {"host-1"}};
  lines.add("full", hex(service::encode(full)));
  lines.add("bare", hex(service::encode({"node-1", 0, false, {}, {}, {}})));
  // Message of an older version: a map of node, revision and state_ok.
  const std::string older = "\x83\xa4node\xa6node-1\xa8revision\x05\xa8state_ok\xc3";
  auto read = service::decode_peer_update(older);
  ASSERT_TRUE(read);
  lines.add("read from old", hex(service::encode(*read)));
  lines.expect_same("peer_news.txt");
}

config::Config golden_config() {
  return config::load(golden_path("service.toml"), {golden_path("operator.yaml")});
}

TEST(Golden, ServiceSettingsRead) {
  const config::Config config = golden_config();
  const Settings& s = config.settings;
  EXPECT_EQ(s.controller_name, "node-0");
  EXPECT_EQ(net::to_string(config.bind), "127.0.0.1:8080");
  EXPECT_EQ(net::to_string(config.peer_bind), "127.0.0.1:8081");
  ASSERT_EQ(config.peers.size(), 1U);
  EXPECT_EQ(config.peers[0].controller, "node-1");
  EXPECT_EQ(net::to_string(config.peers[0].address), "127.0.0.1:8082");
  EXPECT_EQ(net::to_string(config.cloud), "127.0.0.1:8083");
  EXPECT_EQ(net::to_string(config.state_service), "127.0.0.1:8084");
  EXPECT_TRUE(config.names.zones.find("a").valid() && config.names.zones.find("b").valid());
  ASSERT_TRUE(config.names.partitions.find("red") == PartitionIndex{1});
  EXPECT_EQ(s.teams[1].guaranteed.cpus, 3);
  EXPECT_EQ(s.teams[1].guaranteed.gpus, 4);
  EXPECT_EQ(s.teams[1].limit.cpus, 7);
  EXPECT_EQ(s.teams[1].limit.gpus, 8);
  EXPECT_EQ(s.report_interval_s, 1.25);
  EXPECT_EQ(s.lease_s, 11);
  EXPECT_EQ(s.gang_wait_timeout_s, 31);
  EXPECT_EQ(s.gang_peer_timeout_s, 9);
  EXPECT_EQ(s.cancel_deadline_s, 60);
  EXPECT_EQ(s.state_rps, 201);
  EXPECT_EQ(s.state_write_rps, 81);
  EXPECT_EQ(s.max_value_kb, 9);
  EXPECT_EQ(s.max_transaction_ops, 49U);
  EXPECT_EQ(s.cloud_rps, 6.5);
  EXPECT_EQ(s.cloud_list_lag_s, 4.5);
  EXPECT_EQ(s.socket_limit, 901);
  EXPECT_EQ(s.deadline_multiples, std::vector<double>{1.5});
  EXPECT_EQ(config.clock_skew_s, 2);
}

TEST(Golden, OperatorSettingsRead) {
  const OperatorSettings op = golden_config().settings.operator_settings;
  EXPECT_EQ(op.finished_ratio, 0.7);
  EXPECT_EQ(op.slow_multiplier, 1.75);
  EXPECT_EQ(op.baseline_floor_s, 21);
  EXPECT_EQ(op.slow_block_s, 32);
  EXPECT_EQ(op.slow_check_interval_s, 1.5);
  EXPECT_FALSE(op.restart_slow);
  EXPECT_EQ(op.controller_lease_s, 3.5);
  EXPECT_EQ(op.idle_retention_s, 13);
  EXPECT_EQ(op.spot_retention_factor, 2.5);
  EXPECT_EQ(op.release_to_pool_s, 14);
  EXPECT_EQ(op.boot_timeout_factor, 6);
  EXPECT_EQ(op.refusal_backoff_s, 15);
  EXPECT_EQ(op.scale_out_delay_s, 5.5);
  EXPECT_EQ(op.start_deadline_s, 241);
  EXPECT_EQ(op.start_deadline_share, 0.3);
  EXPECT_FALSE(op.use_spot);
  EXPECT_FALSE(op.preempt);
  EXPECT_EQ(op.cloud_list_interval_s, 4.25);
  EXPECT_EQ(op.done_mark_delay_s, 22);
  EXPECT_EQ(op.cycle_interval_s, 0.06);
}

TEST(Golden, MarketSettingsRead) {
  const market::Settings s = golden_config().markets;
  EXPECT_EQ(s.total_limit.per_hour, 501'000'000);
  EXPECT_EQ(s.total_limit.per_window, 4'001'000'000);
  ASSERT_EQ(s.team_limits.count(PartitionIndex{1}), 1U);
  EXPECT_EQ(s.team_limits.at(PartitionIndex{1}).per_hour, 301'000'000);
  EXPECT_EQ(s.team_limits.at(PartitionIndex{1}).per_window, 2'501'000'000);
  EXPECT_EQ(s.window_s, 86000);
  EXPECT_EQ(s.max_paid_s, 1801);
  EXPECT_EQ(s.quote_interval_s, 4.5);
  EXPECT_EQ(s.answer_timeout_s, 3.5);
  EXPECT_EQ(s.delivery_tolerance_s, 61);
  EXPECT_EQ(s.extra_fraction, 0.55);
  EXPECT_EQ(s.trial_fraction, 0.35);
  EXPECT_EQ(s.limit_factor, 1.6);
  EXPECT_EQ(s.starvation_threshold_s, 601);
  EXPECT_EQ(s.starvation_fraction, 0.15);
  ASSERT_EQ(s.markets.size(), 1U);
  EXPECT_EQ(s.markets[0].name, "north");
  EXPECT_EQ(s.markets[0].address, "127.0.0.1:9001");
  EXPECT_EQ(s.markets[0].requests_per_s, 5);
  EXPECT_TRUE(s.markets[0].paused);
  EXPECT_TRUE(s.markets[0].reinstate);
}

TEST(Golden, CalendarRead) {
  const release_calendar::ReleaseCalendar calendar = golden_config().calendar;
  GoldenLines lines;
  lines.add("version", std::to_string(calendar.version));
  for (const release_calendar::ReleaseSpec& release_spec : calendar.releases)
    lines.add(release_spec.name, release_calendar::to_text(release_spec));
  lines.expect_same("calendar.txt");
}

TEST(Golden, ModelsProgressAndRecoveryRead) {
  const config::Config config = golden_config();
  ASSERT_EQ(config.models.models.size(), 1U);
  const serving::ModelSpec& m = config.models.models[0];
  EXPECT_EQ(m.name, "translate");
  EXPECT_EQ(m.job_class, "serve-translate");
  EXPECT_EQ(m.image, "translate-70b");
  EXPECT_EQ(m.call_classes, std::vector<std::string>{"call"});
  EXPECT_EQ(m.min_replicas, 1U);
  EXPECT_EQ(m.max_replicas, 4U);
  EXPECT_EQ(m.calls_per_replica, 9);
  EXPECT_EQ(m.idle_factor, 1.75);
  EXPECT_EQ(m.idle_floor_s, 33);
  EXPECT_TRUE(config.settings.progress.enabled);
  EXPECT_EQ(config.settings.progress.min_speed, 0.25);
  EXPECT_EQ(config.settings.progress.max_speed, 1.5);
  const reconciliation::Settings& r = config.recovery;
  EXPECT_TRUE(r.enabled);
  EXPECT_EQ(r.reported_fraction, 0.65);
  EXPECT_EQ(r.sufficient_fraction, 0.95);
  EXPECT_EQ(r.threshold_multiplier, 1.6);
  EXPECT_EQ(r.demand_window_s, 34);
  EXPECT_EQ(r.return_rate_fraction, 0.2);
  EXPECT_EQ(r.max_replacement_fraction, 0.25);
  EXPECT_FALSE(r.delete_suspects);
}

/// The error of loading `text` as the operators' file, without the path of the file; empty: no error.
std::string operator_error(const std::string& text) {
  std::string path = ::testing::TempDir() + "oxbowmill-golden-" + std::to_string(::getpid()) + ".yaml";
  std::ofstream(path) << text;
  std::string error;
  try {
    config::load(golden_path("service.toml"), {path});
  } catch (const config::Error& caught) {
    error = caught.what();
  }
  std::remove(path.c_str());
  return error.rfind(path + ": ", 0) == 0 ? error.substr(path.size() + 2) : error;
}

TEST(Golden, UnknownOperatorSettingsAreNamed) {
  // Inserts an unknown key before each line that starts with a key, with the same indentation.
  GoldenLines lines;
  const std::string text = read_file(golden_path("operator.yaml")).value_or("");
  ASSERT_EQ(operator_error(text), "");
  std::size_t line_start = 0;
  while (line_start < text.size()) {
    std::size_t line_end = text.find('\n', line_start), first = text.find_first_not_of(' ', line_start);
    std::string line = text.substr(line_start, line_end - line_start);
    if (text[first] != '-' && text[first] != '#') {
      std::string indent(first - line_start, ' ');
      std::string changed =
          text.substr(0, line_start) + indent + "a_key_nobody_knows: 1\n" + text.substr(line_start);
      lines.add(line.substr(0, line.find(':')), operator_error(changed));
    }
    line_start = line_end + 1;
  }
  lines.expect_same("unknown_settings.txt");
}

/// Names of the options, arguments and commands in a program's help text, with their environment variables.
std::vector<std::string> help_names(const std::string& command) {
  std::vector<std::string> names;
  FILE* pipe = ::popen((command + " --help 2>&1").c_str(), "r");
  if (pipe == nullptr) return names;
  std::string text;
  char buffer[4096];
  for (std::size_t n = 0; (n = std::fread(buffer, 1, sizeof buffer, pipe)) > 0;) text.append(buffer, n);
  EXPECT_EQ(::pclose(pipe), 0) << command;
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);) {
    if (line.size() < 3 || line.compare(0, 2, "  ") != 0 || line[2] == ' ') continue;
    std::string name = line.substr(2, line.find(' ', 2) - 2);
    std::size_t variable = line.find("(Env:");
    if (variable != std::string::npos)
      name += " " + line.substr(variable, line.find(')', variable) - variable + 1);
    names.push_back(name);
  }
  return names;
}

void add_help(GoldenLines& lines, const std::string& program, const std::string& title,
              const std::vector<std::string>& commands) {
  for (const std::string& option : help_names(program)) lines.add(title, option);
  for (const std::string& command : commands) {
    for (const std::string& option : help_names(program + " " + command))
      lines.add(title + " " + command, option);
  }
}

TEST(Golden, ProgramArguments) {
  GoldenLines lines;
  add_help(lines, CONTROLLER_PROGRAM, "oxbowmill", {});
  // The help text must not show defaults from the environment.
  add_help(lines, std::string("env -u OXBOW_CONFIG -u OXBOW_NODES -u OXBOW_TEAM ") + CLIENT_PROGRAM,
           "oxbowctl", {"submit", "status", "wait", "withdraw"});
  add_help(lines, SIMULATION_PROGRAM, "oxbowmill-sim",
           {"markets", "cluster", "agreed", "histories", "scale", "market"});
  lines.expect_same("arguments.txt");
}

}  // namespace
}  // namespace oxbowmill
