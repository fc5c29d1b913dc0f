#include "cbor_scanner.h"

#include <cstdint>
#include <limits>
#include <vector>

namespace oxbowmill::wire {

namespace {

/// Major types of items: the upper three bits of their first byte.
enum class MajorType : std::uint8_t {
  unsigned_integer,
  negative_integer,
  byte_string,
  text,
  array,
  map,
  tag,
  simple_or_float
};

constexpr int major_type_shift = 5;
constexpr std::uint8_t additional_info_mask = 0x1f;
// Values of the lower five bits.
constexpr std::uint8_t one_byte_argument = 24, eight_byte_argument = 27, indefinite_length = 31;
constexpr std::uint8_t break_byte = 0xff;
constexpr char empty_byte_string = '\x40';
constexpr std::uint64_t first_two_byte_simple_value = 32;
constexpr unsigned bits_per_byte = 8;
// The item's value is -1 minus its argument. The library would read a lower value as another number.
constexpr std::uint64_t max_negative_argument = std::numeric_limits<std::int64_t>::max();

// Maps and arrays that are open where a field of the body's map begins.
constexpr std::size_t field_nesting = 1;

/// First byte of an item and the argument behind it.
struct ItemHead {
  MajorType type;
  bool is_indefinite;      // of no definite length, or the break that ends such an item
  std::uint64_t argument;  // value, length or count
  bool has_one_byte_argument;
};

/// An array or a map whose end has not been reached.
struct OpenContainer {
  static constexpr std::uint64_t indefinite = std::numeric_limits<std::uint64_t>::max();
  std::uint64_t items_left;  // keys count as items
  bool is_map;
  bool is_at_key;  // the next item is a key; false in arrays
};

class Scanner {
 public:
  Scanner(const std::string& body, const ScanLimits& limits)
      : body_(body), limits_(limits), next_(body.begin()) {}

  ScannedBody scan() {
    do {
      if (!scan_item()) return {error_, std::nullopt};
      close_complete_containers();
    } while (!open_.empty() || is_behind_tag_);
    if (next_ != body_.end() && !fail("more bytes than one item")) return {error_, std::nullopt};
    return finish();
  }

 private:
  std::size_t position() const { return static_cast<std::size_t>(next_ - body_.begin()); }
  std::uint64_t bytes_left() const { return static_cast<std::uint64_t>(body_.end() - next_); }
  bool fail(const char* reason) {
    error_ = "not CBOR: " + std::string(reason) + " at byte " + std::to_string(position());
    return false;
  }
  bool fail_at_end() { return fail("unexpected end"); }

  /// Scans the head of an item and, unless it is an array or a map, the item.
  bool scan_item() {
    auto start = next_;
    ++field_items_;
    ItemHead head{};
    if (!read_head(head)) return false;
    if (head.is_indefinite && head.type == MajorType::simple_or_float) return end_indefinite_container();
    switch (head.type) {
      case MajorType::array:
      case MajorType::map:
        return open_container(head, static_cast<std::size_t>(start - body_.begin()));
      case MajorType::tag:
        is_behind_tag_ = true;
        return true;
      case MajorType::byte_string:
      case MajorType::text:
        if (!skip_string(head)) return false;
        break;
      case MajorType::simple_or_float:
        if (head.has_one_byte_argument && head.argument < first_two_byte_simple_value)
          return fail("invalid simple value");
        break;
      case MajorType::negative_integer:
        if (head.argument > max_negative_argument)
          cut_scalar(static_cast<std::size_t>(start - body_.begin()));
        break;
      case MajorType::unsigned_integer:
        break;
    }
    complete_item();
    return true;
  }

  bool read_head(ItemHead& head) {
    if (next_ == body_.end()) return fail_at_end();
    auto first_byte = static_cast<std::uint8_t>(*next_++);
    auto info = static_cast<std::uint8_t>(first_byte & additional_info_mask);
    head.type = static_cast<MajorType>(first_byte >> major_type_shift);
    head.argument = info;
    head.has_one_byte_argument = info == one_byte_argument;
    if (info < one_byte_argument) return true;
    if (info <= eight_byte_argument) return read_argument(std::size_t{1} << (info - one_byte_argument), head);
    head.is_indefinite = info == indefinite_length && head.type != MajorType::unsigned_integer &&
                         head.type != MajorType::negative_integer && head.type != MajorType::tag;
    return head.is_indefinite || fail("invalid first byte of an item");
  }

  bool read_argument(std::size_t size, ItemHead& head) {
    if (bytes_left() < size) return fail_at_end();
    head.argument = 0;
    for (std::size_t i = 0; i < size; ++i)
      head.argument = head.argument << bits_per_byte | static_cast<std::uint8_t>(*next_++);
    return true;
  }

  bool skip_string(const ItemHead& head) {
    if (!head.is_indefinite) return skip_bytes(head.argument);
    while (next_ != body_.end() && static_cast<std::uint8_t>(*next_) != break_byte) {
      ItemHead chunk{};
      if (!read_head(chunk)) return false;
      if (chunk.type != head.type || chunk.is_indefinite) return fail("invalid part of a string");
      if (!skip_bytes(chunk.argument)) return false;
    }
    return skip_bytes(1);
  }

  bool skip_bytes(std::uint64_t count) {
    if (bytes_left() < count) return fail_at_end();
    next_ += static_cast<std::ptrdiff_t>(count);
    return true;
  }

  bool open_container(const ItemHead& head, std::size_t start) {
    bool is_map = head.type == MajorType::map;
    std::uint64_t items_per_entry = is_map ? 2 : 1;
    // An item takes at least one byte.
    if (!head.is_indefinite && head.argument > bytes_left() / items_per_entry)
      return fail("fewer bytes than items");
    if (open_.size() == limits_.accepted_nesting) {
      error_ = "nested more than " + std::to_string(limits_.accepted_nesting) + " levels deep";
      return false;
    }
    if (open_.size() == limits_.kept_nesting) cut_start_ = start;
    if (open_.size() == field_nesting) begin_field(start);
    is_behind_tag_ = false;
    open_.push_back(
        {head.is_indefinite ? OpenContainer::indefinite : head.argument * items_per_entry, is_map, is_map});
    return true;
  }

  bool end_indefinite_container() {
    if (open_.empty() || is_behind_tag_ || open_.back().items_left != OpenContainer::indefinite)
      return fail("unexpected break");
    if (open_.back().is_map && !open_.back().is_at_key) return fail("a key without a value");
    close_container();
    return true;
  }

  void close_complete_containers() {
    while (!open_.empty() && open_.back().items_left == 0 && !is_behind_tag_) close_container();
  }

  void close_container() {
    open_.pop_back();
    if (open_.size() == limits_.kept_nesting) cut();
    if (open_.size() == field_nesting && field_items_ > limits_.max_field_items) cut_field();
    complete_item();
  }

  /// Counts an item of the innermost array or map that is open.
  void complete_item() {
    is_behind_tag_ = false;
    if (open_.empty()) return;
    OpenContainer& container = open_.back();
    if (container.items_left != OpenContainer::indefinite) --container.items_left;
    container.is_at_key = container.is_map && !container.is_at_key;
  }

  void begin_field(std::size_t start) {
    field_start_ = start;
    field_items_ = 0;
    trimmed_before_field_ = trimmed_.size();
    copied_before_field_ = copied_;
  }

  /// Replaces the field whose array or map has ended, whatever has been cut out of it.
  void cut_field() {
    trimmed_.resize(trimmed_before_field_);
    copied_ = copied_before_field_;
    cut_start_ = field_start_;
    cut();
  }

  /// Replaces an item that is neither an array nor a map, unless it is in an array or map that is replaced.
  void cut_scalar(std::size_t start) {
    if (open_.size() > limits_.kept_nesting) return;
    cut_start_ = start;
    cut();
  }

  /// Replaces what has been scanned since `cut_start_`.
  void cut() {
    trimmed_.append(body_, copied_, cut_start_ - copied_);
    trimmed_.push_back(empty_byte_string);
    copied_ = position();
  }

  ScannedBody finish() {
    if (copied_ == 0) return {};
    trimmed_.append(body_, copied_);
    return {"", std::move(trimmed_)};
  }

  const std::string& body_;
  ScanLimits limits_;
  std::string::const_iterator next_;
  std::vector<OpenContainer> open_;
  bool is_behind_tag_ = false;  // the item that the last tag belongs to has not begun
  std::size_t cut_start_ = 0;
  // Of the array or map that is a field of the body's map and began last.
  std::size_t field_start_ = 0, field_items_ = 0, trimmed_before_field_ = 0, copied_before_field_ = 0;
  std::string trimmed_;     // copy of the first `copied_` bytes of the body, without what was cut out
  std::size_t copied_ = 0;  // 0: nothing was cut out so far
  std::string error_;
};

}  // namespace

ScannedBody scan_cbor(const std::string& body, const ScanLimits& limits) {
  return Scanner(body, limits).scan();
}

}  // namespace oxbowmill::wire
