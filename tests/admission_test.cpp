// What admission keeps of a submission before the job is accepted.
#include "oxbowmill/service/admission.h"

#include <gtest/gtest.h>

#include "oxbowmill/simulation/simulated_cluster.h"

namespace oxbowmill {
namespace {

// Guards against memory that grows with the names in submissions that are refused.
TEST(Admission, RefusedSubmissionLeavesNoNames) {
  Names names = simulation::test_names();
  const Settings settings = simulation::test_settings("n");
  const std::uint32_t classes = names.classes.size(), images = names.images.size();
  wire::Json body = wire::write_submission(simulation::test_job("run-1", 1), names);
  for (double vcpus :
       {1e6, 1.0}) {  // the first fits no machine; the second is admissible but not accepted yet
    body["vcpus"] = vcpus;
    body["jobclass"] = "class-" + std::to_string(vcpus);
    body["bundle"] = "image-" + std::to_string(vcpus);
    service::Admission admission = service::admit(body, names, settings, simulation::test_catalog(), 100);
    EXPECT_EQ(admission.rejection.has_value(), vcpus > 1);
  }
  EXPECT_EQ(names.classes.size(), classes);
  EXPECT_EQ(names.images.size(), images);
}

// Guards against an accepted job whose record has lost names that no replica knew at its admission.
TEST(Admission, RecordOfAnAdmittedJobHasItsNewNames) {
  const Names names = simulation::test_names();
  wire::Json body = wire::write_submission(simulation::test_job("run-1", 1), names);
  body["jobclass"] = "new-class";
  body["bundle"] = "new-image";
  service::Admission admission =
      service::admit(body, names, simulation::test_settings("n"), simulation::test_catalog(), 100);
  ASSERT_FALSE(admission.rejection);
  ClusterState replica(simulation::test_settings("n"), simulation::test_names());
  auto change = state::decode(state::job_key("run-1"), &admission.record, replica);
  ASSERT_TRUE(change.has_value());
  const JobSpec& spec = std::get<JobRecord>(change->value).spec;
  EXPECT_EQ(replica.names.classes.name(spec.job_class), "new-class");
  EXPECT_EQ(replica.names.images.name(spec.image), "new-image");
}

}  // namespace
}  // namespace oxbowmill
