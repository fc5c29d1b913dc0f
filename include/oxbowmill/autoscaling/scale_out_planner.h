// Which kind of machine is requested from the cloud for what. Owns nothing: requests are collected in
// `ScaleOutRequests`. Not thread-safe.
#pragma once

#include <vector>

#include "oxbowmill/autoscaling/scale_out_requests.h"
#include "oxbowmill/autoscaling/warm_machines.h"

namespace oxbowmill::autoscaling {

/// Chooses kinds by price, spread over zones and past refusals.
class ScaleOutPlanner {
 public:
  /// All outlive this object.
  ScaleOutPlanner(const Environment& environment, ScaleOutRequests& requests, WarmMachines& warm_machines)
      : environment_(environment), requests_(requests), warm_machines_(warm_machines) {}

  /// Requests machines for `tasks` tasks of the job, of the kind that is cheapest per task, and adds them to
  /// the candidates with the capacity that the tasks leave.
  void request_machines(const Job& job, std::uint32_t tasks, Seconds now,
                        std::vector<CandidateMachine>& candidates);
  /// Requests machines for the work of suspected ones, beyond the machines that are idle.
  void replace_suspected(std::size_t idle_machines, Seconds now);
  /// What the cloud can be asked for now, for the comparison with markets.
  std::vector<CloudOffer> cloud_offers(Seconds now) const;
  /// The job shares machines with others' tasks, may use spot machines, and the cloud has not refused them
  /// lately.
  bool is_spot_available_for(const JobSpec& spec, Seconds now) const;

 private:
  /// A kind that could serve a job.
  struct Offer {
    double price = 0;                  // per hour and task
    std::size_t machines_in_zone = 0;  // candidates in the zone already, to spread the risk
    MachineKind kind;
    int tasks_per_machine = 0;
  };
  std::vector<Offer> offers_for(const JobSpec& spec, std::uint32_t tasks, Seconds now,
                                const std::vector<CandidateMachine>& candidates) const;
  bool may_use_spot() const { return environment_.state.settings.operator_settings.use_spot; }

  const Environment& environment_;
  ScaleOutRequests& requests_;
  WarmMachines& warm_machines_;
};

}  // namespace oxbowmill::autoscaling
