// Bodies that begin a map or an array with more items than any body can hold, in everything that the
// controller and the command line receive: they are refused with a reason and never end the program. The
// regression tests of docs/incidents/count-beyond-body.md.
#include "controller_process.h"
#include "oxbowmill/market/calls.h"
#include "oxbowmill/service/peers.h"
#include "oxbowmill/simulation/simulated_cluster.h"
#include "oxbowmill/wire/market_codec.h"

namespace oxbowmill {
namespace {

/// CBOR: the head of a map or an array whose count is the next eight bytes. The count exceeds what a JSON
/// value can hold, so it is refused by another part of the library than a body that ends early.
const std::string huge_map = "\xbb in a line of text";
const std::string huge_array = "\x9b in a line of text";
/// A map with one field, "rigs", whose value is such a map or array.
const std::string map_of_huge_map = "\xa1\x64rigs" + huge_map;
const std::string map_of_huge_array = "\xa1\x64rigs" + huge_array;
const std::string huge_bodies[] = {huge_map, huge_array, map_of_huge_map, map_of_huge_array};

TEST(MalformedCount, BodyWithMoreItemsThanBytesIsNotDecoded) {
  for (const std::string& body : huge_bodies) EXPECT_FALSE(wire::decode_map(body));
  EXPECT_FALSE(wire::decode_map("\x9a\xff\xff\xff\xff"));
  EXPECT_FALSE(wire::decode_map(std::string("\xbb\0\0\0\0\0\0\0\1", 9)));
}

TEST(MalformedCount, MarketAnswerWithMoreItemsThanBytesIsMalformed) {
  Names names = simulation::test_names();
  for (const std::string& body : huge_bodies) {
    EXPECT_EQ(wire::read_market_answer(market::Call{}, 200, body, 0, names).kind,
              market::AnswerKind::malformed);
  }
}

TEST(MalformedCount, PeerUpdateWithMoreItemsThanBytesIsNotDecoded) {
  // MessagePack: a map and an array with 2^32 - 1 items, by themselves and as the value of a field.
  const std::string bodies[] = {"\xdf\xff\xff\xff\xff", "\xdd\xff\xff\xff\xff",
                                "\x81\xa4node\xdd\xff\xff\xff\xff"};
  for (const std::string& body : bodies) EXPECT_FALSE(service::decode_peer_update(body));
}

TEST_F(ControllerProcess, RequestWithMoreItemsThanBytesIsRefused) {
  // Guards against a controller that ends because the CBOR library throws where it was told not to. The
  // sender repeats the request, which ends the next controllers.
  start_program();
  run_until_ready();
  struct Target {
    net::Address address;
    const char* path;
  };
  for (const Target& target :
       {Target{controller_address_, "/submissions"}, Target{controller_address_, "/hello"},
        Target{peer_address_, "/relay"}, Target{peer_address_, "/peer"}}) {
    for (const std::string& body : huge_bodies) {
      EXPECT_EQ(status_of(target.address, EVHTTP_REQ_POST, target.path, body), 400) << target.path;
      ASSERT_TRUE(is_running()) << target.path;
    }
  }
  EXPECT_TRUE(has_logged("malformed message kind=submission sender=\"127.0.0.1\" reason=\"not CBOR: "));
  EXPECT_TRUE(has_logged("malformed message kind=report sender=\"127.0.0.1\" reason=\"not CBOR: "));
  EXPECT_TRUE(has_logged("malformed message kind=peer_update sender=\"127.0.0.1\""));
  submit_until_accepted(make_submission("run-1"));
}

TEST_F(ControllerProcess, ResponseWithMoreItemsThanBytesIsNoResponse) {
  // Guards against the cloud or the state service ending the controllers. The first response to each kind of
  // call has such a body, with status 200 and, if the call is repeated, with one that is a refusal.
  std::map<std::string, int> malformed_responses;
  auto answer_twice = [&](const Request& request) {
    std::string call = std::to_string(request.method) + request.path.substr(0, request.path.find('/', 1));
    int number = malformed_responses[call]++;
    if (number >= 2) return false;
    request.responder->reply(number == 0 ? 200 : 503, huge_bodies[malformed_responses.size() % 4]);
    return true;
  };
  answer_for_state_ = answer_twice;
  answer_for_cloud_ = answer_twice;
  start_program();
  submit_until_accepted(make_submission("run-1"));
  run_until([&] { return !is_running() || (agent_.has("run-1/0") && agent_.has("run-1/1")); }, [] {});
  ASSERT_TRUE(is_running());
  for (const char* path : {"/catalog", "/rentals", "/store", "/txn", "/holds", "/watch"}) {
    EXPECT_TRUE(std::any_of(malformed_responses.begin(), malformed_responses.end(),
                            [path](const auto& entry) {
                              return entry.first.find(path) != std::string::npos && entry.second >= 2;
                            }))
        << path;
  }
  EXPECT_TRUE(has_logged("malformed message kind=catalog sender=\"cloud\" reason=\"not CBOR: "));
  EXPECT_TRUE(has_logged("state service response unreadable path=/txn reason=\"not CBOR: "));
  EXPECT_TRUE(run_log_.duplicated_tasks.empty());
}

TEST_F(ControllerProcess, CommandLineSurvivesAResponseWithMoreItemsThanBytes) {
  // Guards against a client that ends by an exception of the library in place of one of its exit statuses.
  net::HttpServer server(base_.get(), {"127.0.0.1", 0}, wire::max_body_size, [](Request&& request) {
    bool is_refusal = request.path.find("run-2") != std::string::npos;
    request.responder->reply(is_refusal ? 404 : 200, huge_map);
  });
  controller_address_ = server.address();
  std::string output;
  EXPECT_EQ(run_command_line("--patience 1 status run-1", output), 5) << output;
  EXPECT_EQ(run_command_line("--patience 1 status run-2", output), 4) << output;
}

}  // namespace
}  // namespace oxbowmill
