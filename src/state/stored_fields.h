// Reads single fields of stored records. A field that is missing or has another type is read as an empty
// string or 0, unless the function says otherwise.
#pragma once

#include <initializer_list>
#include <string>

#include "oxbowmill/wire/cbor.h"

namespace oxbowmill::state {

std::string read_string(const wire::Json& record, const char* field);
double read_number(const wire::Json& record, const char* field);
std::uint64_t read_integer(const wire::Json& record, const char* field);
/// Reads a flag into `out`, as false if it is missing. Returns false if the field has another type.
[[nodiscard]] bool read_flag(const wire::Json& record, const char* field, bool& out);
/// Reads a list of numbers into `outputs`. Returns false if the field is not a list of exactly as many
/// numbers; earlier outputs may then have been set.
[[nodiscard]] bool read_numbers(const wire::Json& record, const char* field,
                                std::initializer_list<double*> outputs);

}  // namespace oxbowmill::state
