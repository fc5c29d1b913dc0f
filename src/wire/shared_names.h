// Names of fields that messages of several protocols use with the same meaning.
#pragma once

namespace oxbowmill::wire::shared {

constexpr const char* machine_type = "rig";
constexpr const char* machine_types = "rigs";
constexpr const char* zone = "yard";
constexpr const char* zones = "yards";
constexpr const char* spot = "loaners";
constexpr const char* cpus = "vcpus";
constexpr const char* gpus = "accelerators";
constexpr const char* memory_gb = "memory_gb";
constexpr const char* machines = "hosts";
constexpr const char* address = "address";
constexpr const char* count = "count";
constexpr const char* phase = "phase";

}  // namespace oxbowmill::wire::shared
