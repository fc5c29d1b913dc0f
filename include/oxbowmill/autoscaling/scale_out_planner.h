// Chooses the kind of machine that is requested from the cloud for a demand. Has no state of its own;
// requests are collected in `ScaleOutRequests`. Not thread-safe.
#pragma once

#include <vector>

#include "oxbowmill/autoscaling/scale_out_requests.h"
#include "oxbowmill/autoscaling/warm_machines.h"

namespace oxbowmill::autoscaling {

/// Chooses kinds by price, then by how few candidates their zone has, without those that were lately refused.
class ScaleOutPlanner {
 public:
  /// All arguments must outlive this object.
  ScaleOutPlanner(const Environment& environment, ScaleOutRequests& requests, WarmMachines& warm_machines)
      : environment_(environment), requests_(requests), warm_machines_(warm_machines) {}

  /// Requests machines of the kind that is cheapest per task for `tasks` tasks of the job, and adds them to
  /// the candidates with the capacity that the tasks leave free.
  void request_machines(const Job& job, std::uint32_t tasks, Seconds now,
                        std::vector<CandidateMachine>& candidates);
  /// Requests replacements for suspected machines, as far as the idle machines do not suffice.
  void replace_suspected(std::size_t idle_machines, Seconds now);
  /// Kinds of machines that the cloud can be asked for now, to be compared with the offers of markets.
  std::vector<CloudOffer> cloud_offers(Seconds now) const;
  /// Whether the job can share machines with other jobs' tasks, may use spot machines, and the cloud has not
  /// lately refused all kinds of them that the job could use.
  bool is_spot_available_for(const JobSpec& spec, Seconds now) const;

 private:
  /// A kind of machine that could serve a job.
  struct Offer {
    double price = 0;                  // per hour and task of the job
    std::size_t machines_in_zone = 0;  // candidates already in the zone, to spread over zones
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
