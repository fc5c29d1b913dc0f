#include "stored_fields.h"

namespace oxbowmill::state {

using wire::Json;

std::string read_string(const Json& record, const char* field) {
  auto it = record.find(field);
  return it != record.end() && it->is_string() ? it->get<std::string>() : std::string();
}

double read_number(const Json& record, const char* field) {
  auto it = record.find(field);
  return it != record.end() && it->is_number() ? it->get<double>() : 0;
}

std::uint64_t read_integer(const Json& record, const char* field) {
  auto it = record.find(field);
  return it != record.end() && it->is_number_integer() ? it->get<std::uint64_t>() : 0;
}

bool read_flag(const Json& record, const char* field, bool& out) {
  auto it = record.find(field);
  if (it != record.end() && !it->is_boolean()) return false;
  out = it != record.end() && it->get<bool>();
  return true;
}

bool read_numbers(const Json& record, const char* field, std::initializer_list<double*> outputs) {
  auto it = record.find(field);
  if (it == record.end() || !it->is_array() || it->size() != outputs.size()) return false;
  std::size_t i = 0;
  for (double* output : outputs) {
    const Json& number = (*it)[i++];
    if (!number.is_number()) return false;
    *output = number.get<double>();
  }
  return true;
}

}  // namespace oxbowmill::state
