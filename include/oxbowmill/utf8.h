// Check of text that comes from outside the program.
#pragma once

#include <boost/locale/utf.hpp>
#include <string_view>

namespace oxbowmill {

/// Whether the bytes are UTF-8 as RFC 3629 defines it: without overlong forms and surrogates.
inline bool is_valid_utf8(std::string_view text) {
  namespace utf = boost::locale::utf;
  const char* position = text.data();
  const char* end = position + text.size();
  while (position != end) {
    utf::code_point code_point = utf::utf_traits<char>::decode(position, end);
    if (code_point == utf::illegal || code_point == utf::incomplete) return false;
  }
  return true;
}

}  // namespace oxbowmill
