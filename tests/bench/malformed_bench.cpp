// Time from a submission's body to its answer, for each kind of malformed body beside sound submissions of
// the same size: `malformed_bench`. No kind of malformed body may take more than twice the time of the sound
// submission that is padded by a text, and none more than 2 ms.
#include <benchmark/benchmark.h>

#include "nested_bodies.h"
#include "oxbowmill/service/admission.h"
#include "oxbowmill/simulation/simulated_cluster.h"

namespace {

using namespace oxbowmill;
using wire::Json;

constexpr std::size_t body_size = wire::max_body_size - 100;

Json sound_submission() {
  return {{"ref", "run-1"},     {"jobclass", "c"},     {"owner", "red"},   {"shape", "batch"},
          {"rank", "standard"}, {"shards", 2},         {"vcpus", 1.0},     {"accelerators", 1.0},
          {"memory_gb", 1.0},   {"bundle", "img"},     {"size_gb", 1.0},   {"rigs", nullptr},
          {"yard", nullptr},    {"same_place", false}, {"scatter", false}, {"loaners", true},
          {"runtime_s", 1.0},   {"save_every_s", 0.0}, {"flush_s", 0.0},   {"due_s", nullptr}};
}

std::string repeated(const std::string& text, std::size_t size) {
  std::string out;
  while (out.size() + text.size() <= size) out += text;
  return out;
}

/// A sound submission in which the value of one field is replaced by the bytes of an item.
std::string submission_with(const std::string& field, const std::string& item) {
  Json submission = sound_submission();
  const std::string placeholder = "placeholder";
  submission[field] = placeholder;
  std::string body = wire::encode(submission);
  std::string encoded = wire::encode(placeholder);
  return body.replace(body.find(encoded), encoded.size(), item);
}

/// CBOR: the items in an array of indefinite length.
std::string array_of_size(const std::string& item, std::size_t size) {
  return "\x9f" + repeated(item, size - 400) + "\xff";
}
std::string array_of(const std::string& item) {
  return array_of_size(item, body_size);
}
/// CBOR: a map of indefinite length with as many different fields as fit.
std::string map_of_fields(std::size_t size = body_size - 400) {
  std::string out = "\xbf";
  for (int i = 0; out.size() < size; ++i)
    out += std::string("\x63") + static_cast<char>('!' + i % 64) + static_cast<char>('!' + i / 64 % 64) +
           static_cast<char>('!' + i / 4096) + "\x01";
  return out + "\xff";
}
std::string text_of(const std::string& content) {
  return wire::encode(content);
}
/// CBOR: a text of indefinite length, whose parts have one byte.
std::string text_of_parts() {
  return "\x7f" + repeated("\x61x", body_size - 400) + "\xff";
}
/// A submission of `shards` tasks with as many unknown fields as fit, of which each has few items.
std::string submission_with_unknown_fields(const Json& shards) {
  Json submission = sound_submission();
  submission["shards"] = shards;
  for (int i = 0; i < 450; ++i) submission["f" + std::to_string(i)] = std::vector<int>(130, 1);
  return wire::encode(submission);
}

/// A submission of `shards` tasks with as many unknown fields as fit, each of which is a number.
std::string submission_with_small_fields(const Json& shards) {
  Json submission = sound_submission();
  submission["shards"] = shards;
  for (int i = 0; i < 7100; ++i) submission["f" + std::to_string(100'000 + i)] = 1;
  return wire::encode(submission);
}

/// A report of a machine whose list of tasks is the item.
std::string report_with_tasks(const std::string& item) {
  const std::string placeholder = "placeholder";
  std::string body = wire::encode({{"host", "host-1"},
                                   {"address", "127.0.0.1:9000"},
                                   {"rig", "std"},
                                   {"yard", "a"},
                                   {"loaners", true},
                                   {"tenure", 1},
                                   {"serial", 88},
                                   {"warrant", 41},
                                   {"recall_s", nullptr},
                                   {"shards", placeholder}});
  std::string encoded = wire::encode(placeholder);
  return body.replace(body.find(encoded), encoded.size(), item);
}
/// A list of as many sound tasks as fit into this many bytes.
std::string sound_tasks(std::size_t size) {
  std::string out = "\x9f";
  for (int i = 0; out.size() + 100 < size; ++i)
    out += wire::encode({{"shard", "run-000001/" + std::to_string(i)}, {"try", 1000}, {"phase", "running"}});
  return out + "\xff";
}

struct BenchmarkCase {
  std::string name, body;
};

std::vector<BenchmarkCase> benchmark_cases() {
  const std::string padding(body_size - 400, 'x');
  const std::string numbers = array_of("\x01"), empty_arrays = array_of("\x80"),
                    short_texts = array_of("\x61x");
  std::vector<BenchmarkCase> cases = {
      {"sound/padded by a text", submission_with("unknown", text_of(padding))},
      {"sound/padded by numbers", submission_with("unknown", numbers)},
      {"sound/padded by empty arrays", submission_with("unknown", empty_arrays)},
      {"sound/padded by short texts", submission_with("unknown", short_texts)},
      {"sound/padded by a map", submission_with("unknown", map_of_fields())},
      {"sound/padded by nested arrays",
       submission_with("unknown", nested_item(nesting_kinds()[0], body_size - 400, true))},
      {"sound/padded by a text of parts", submission_with("unknown", text_of_parts())},
      {"sound/padded by many fields", submission_with_unknown_fields(2)},
      {"sound/padded by small fields", submission_with_small_fields(2)},
      {"malformed/many fields", submission_with_unknown_fields("two")},
      {"malformed/small fields", submission_with_small_fields("two")},
      {"malformed/empty", ""},
      {"malformed/not a map", numbers},
      {"malformed/a line of text", std::string(body_size, 'x')},
      {"malformed/text not UTF-8", submission_with("unknown", text_of(padding + "\xff"))},
      {"malformed/cut short in a text",
       submission_with("unknown", text_of(padding)).substr(0, body_size - 500)},
      {"malformed/cut short in numbers", submission_with("unknown", numbers).substr(0, body_size - 500)},
      {"malformed/cut short in empty arrays",
       submission_with("unknown", empty_arrays).substr(0, body_size - 500)},
      {"malformed/cut short in a map",
       submission_with("unknown", map_of_fields()).substr(0, body_size - 500)},
      {"malformed/trailing bytes", submission_with("unknown", numbers) + "x"},
      {"malformed/huge count",
       submission_with("rigs", std::string("\x9b\xff\xff\xff\xff\xff\xff\xff\xff") + padding)},
      {"malformed/tags", submission_with("unknown", repeated("\xc1", body_size - 400) + "\xf6")},
      {"malformed/undefined values", submission_with("unknown", array_of("\xf7"))},
      {"malformed/field is a text", submission_with("ref", text_of(padding))},
      {"malformed/field is numbers", submission_with("rigs", numbers)},
      {"malformed/field is empty arrays", submission_with("rigs", empty_arrays)},
      {"malformed/field is short texts", submission_with("rigs", short_texts)},
      {"malformed/field is a text of parts", submission_with("ref", text_of_parts())},
      {"malformed/field is a map", submission_with("rigs", map_of_fields())},
  };
  for (const NestingKind& kind : nesting_kinds()) {
    for (bool is_closed : {true, false}) {
      std::string item = nested_item(kind, body_size - 400, is_closed);
      std::string suffix = kind.name + (is_closed ? "" : ", not closed");
      cases.push_back({"malformed/body is " + suffix, item});
      cases.push_back({"malformed/field is " + suffix, submission_with("rigs", item)});
    }
  }
  return cases;
}

std::vector<BenchmarkCase> report_cases() {
  constexpr std::size_t four_tasks_size = 280;
  std::vector<BenchmarkCase> cases = {
      {"report/four sound tasks", report_with_tasks(sound_tasks(four_tasks_size))}};
  for (std::size_t size : {body_size, 4 * body_size}) {
    const std::string kib = ", " + std::to_string(size / 1024) + " KiB";
    const std::string small_fields =
        array_of_size(wire::encode({{"shard", "r/1"}, {"try", 1}, {"x", 1}}), size);
    cases.push_back({"report/sound tasks" + kib, report_with_tasks(sound_tasks(size))});
    cases.push_back({"report/tasks are empty arrays" + kib, report_with_tasks(array_of_size("\x80", size))});
    cases.push_back({"report/tasks are numbers" + kib, report_with_tasks(array_of_size("\x01", size))});
    cases.push_back({"report/tasks lack a field" + kib, report_with_tasks(small_fields)});
    cases.push_back({"report/unknown fields of a task" + kib,
                     report_with_tasks("\x9f" + map_of_fields(size - 400) + "\xff")});
  }
  return cases;
}

/// Decodes the body as the controller does.
void decode_report(benchmark::State& state, const std::string& body) {
  for (auto _ : state) benchmark::DoNotOptimize(wire::decode_report(body));
}

/// Decodes the body and answers as the controller does before it writes anything.
std::string answer(const std::string& body, Names& names, const Settings& settings,
                   const std::vector<MachineType>& catalog) {
  auto decoded = wire::decode_map(body, wire::submission_rules);
  if (!decoded) return wire::encode({{"error", decoded.error()}});
  service::Admission admission = service::admit(*decoded, names, settings, catalog, 0);
  if (admission.rejection) return wire::encode({{"error", admission.rejection->reason}});
  return wire::encode(service::submission_txn(admission.submission.spec.ref, admission.record));
}

void answer_body(benchmark::State& state, const std::string& body) {
  Names names = simulation::test_names();
  Settings settings = simulation::test_settings("n");
  std::vector<MachineType> catalog = simulation::test_catalog();
  for (auto _ : state) benchmark::DoNotOptimize(answer(body, names, settings, catalog));
}

}  // namespace

int main(int argc, char** argv) {
  benchmark::Initialize(&argc, argv);
  for (const BenchmarkCase& benchmark_case : benchmark_cases()) {
    benchmark::RegisterBenchmark(benchmark_case.name.c_str(), answer_body, benchmark_case.body)
        ->Unit(benchmark::kMicrosecond);
  }
  for (const BenchmarkCase& benchmark_case : report_cases()) {
    benchmark::RegisterBenchmark(benchmark_case.name.c_str(), decode_report, benchmark_case.body)
        ->Unit(benchmark::kMicrosecond);
  }
  benchmark::RunSpecifiedBenchmarks();
}
