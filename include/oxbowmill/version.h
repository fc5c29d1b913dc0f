#pragma once

namespace oxbowmill {
/// Version of the project.
constexpr const char* version = "0.1.0";
}  // namespace oxbowmill
