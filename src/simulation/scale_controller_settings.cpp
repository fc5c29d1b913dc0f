#include "scale_controller_settings.h"

#include <fstream>
#include <iomanip>

#include "oxbowmill/error.h"

namespace oxbowmill::simulation {

void write_controller_settings(const std::string& file, std::size_t i, const ScaleSettings& settings,
                               const ScaleAddresses& addresses) {
  std::ofstream out(file);
  out << "node_name = \"" << scale_controller_name(i) << "\"\narea = \""
      << scale_zone_name(i % settings.zones) << "\"\nbind = \"" << net::to_string(addresses.controller(i))
      << "\"\npeer_bind = \"" << net::to_string(addresses.peer(i)) << "\"\n";
  for (std::size_t other = 0; other < settings.controllers; ++other) {
    if (other == i) continue;
    out << "[[seeds]]\nnode_name = \"" << scale_controller_name(other) << "\"\narea = \""
        << scale_zone_name(other % settings.zones) << "\"\naddress = \""
        << net::to_string(addresses.peer(other)) << "\"\n";
  }
  out << "[services]\ncloud = \"" << net::to_string(addresses.cloud()) << "\"\nstate = \""
      << net::to_string(addresses.state()) << "\"\n[settings]\nzones = [";
  for (std::size_t z = 0; z < settings.zones; ++z)
    out << (z == 0 ? "" : ", ") << '"' << scale_zone_name(z) << '"';
  out << "]\n";
  for (std::size_t t = 0; t < settings.teams; ++t) {
    out << "[[settings.teams]]\nname = \"team-" << t
        << "\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = " << std::fixed << std::setprecision(1)
        << settings.team_gpus << "\n";
  }
  out << "[settings.workers]\nreport_s = " << settings.report_interval_s << "\nlease_s = " << settings.lease_s
      << "\ngang_wait_s = " << settings.gang_wait_s << "\ngang_peer_s = " << settings.gang_peer_s
      << "\ncancel_s = " << settings.cancel_timeout_s << "\n[settings.state]\nrps = " << settings.state_rps
      << "\nwrite_rps = " << settings.state_write_rps << "\nvalue_kb = " << settings.value_kb
      << "\ntxn_ops = " << settings.txn_ops << "\n[settings.cloud]\nrps = " << settings.cloud_rps
      << "\nlist_lag_s = 1.0\n";
  if (!out) throw Error(file + ": cannot be written");
}

}  // namespace oxbowmill::simulation
