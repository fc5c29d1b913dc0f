// Reading single fields of stored records. A field that is missing or of another type reads as empty or 0,
// except where the function says otherwise.
#pragma once

#include <initializer_list>
#include <string>

#include "oxbowmill/wire/cbor.h"

namespace oxbowmill::state {

std::string read_string(const wire::Json& record, const char* field);
double read_number(const wire::Json& record, const char* field);
std::uint64_t read_integer(const wire::Json& record, const char* field);
/// Reads a list of exactly as many numbers as there are outputs; false where it is none.
[[nodiscard]] bool read_numbers(const wire::Json& record, const char* field,
                                std::initializer_list<double*> outputs);

}  // namespace oxbowmill::state
