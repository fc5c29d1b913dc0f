#include "field_reader.h"

#include <cmath>

namespace oxbowmill::wire {

std::string FieldReader::text(const char* field) {
  const Json* value = optional(field);
  if (value == nullptr || !value->is_string() || value->get_ref<const std::string&>().empty() ||
      value->get_ref<const std::string&>().size() > max_name_length) {
    return fail(field), std::string();
  }
  return value->get<std::string>();
}

bool FieldReader::flag(const char* field) {
  const Json* value = optional(field);
  if (value == nullptr || !value->is_boolean()) return fail(field), false;
  return value->get<bool>();
}

double FieldReader::amount(const char* field) {
  constexpr double max_amount = 1e12;
  const Json* value = optional(field);
  if (value == nullptr || !value->is_number()) return fail(field), 0.0;
  auto amount = value->get<double>();
  if (!std::isfinite(amount) || amount < 0 || amount > max_amount) return fail(field), 0.0;
  return amount;
}

std::uint64_t FieldReader::count(const char* field) {
  const Json* value = optional(field);
  if (value == nullptr || !value->is_number_integer() ||
      (!value->is_number_unsigned() && value->get<std::int64_t>() < 0)) {
    return fail(field), 0;
  }
  return value->get<std::uint64_t>();
}

const Json* FieldReader::optional(const char* field) const {
  auto it = json_.find(field);
  return it == json_.end() || it->is_null() ? nullptr : &*it;
}

void FieldReader::fail(const char* field) {
  if (invalid_field_.empty()) invalid_field_ = field;
}

}  // namespace oxbowmill::wire
