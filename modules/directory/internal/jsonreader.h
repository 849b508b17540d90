// Strict reader for the fields of a JSON object. Collects every fault, so that
// a single error message lists them all.

#ifndef FULMAR_DIRECTORY_INTERNAL_JSONREADER_H
#define FULMAR_DIRECTORY_INTERNAL_JSONREADER_H

#include "fulmar/base/identifier.h"
#include "fulmar/base/result.h"
#include "fulmar/base/time.h"

#include <json/value.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar::directory {

/// Missing or invalid fields yield an empty value and a fault.
class json_reader {
public:
  /// \p Source must outlive the reader. \p Path is the prefix of each fault.
  json_reader(const Json::Value &Source, std::string Path);

  std::string text(const char *Key);
  std::string textOr(const char *Key, std::string Default);
  /// IP:PORT.
  std::string address(const char *Key);
  std::uint64_t number(const char *Key, std::uint64_t Maximum);
  std::uint64_t numberOr(const char *Key, std::uint64_t Maximum,
                         std::uint64_t Default);
  std::uint32_t count(const char *Key);
  base::duration microseconds(const char *Key);
  /// A number from 0 to 1.
  double fraction(const char *Key);
  bool boolean(const char *Key);
  /// Returns the index of the field's text in \p Names.
  std::size_t choice(const char *Key,
                     const std::vector<std::string_view> &Names);

  /// Reads each element of a list with \p ReadElement(json_reader &).
  template <typename Read> auto list(const char *Key, Read &&ReadElement) {
    std::vector<decltype(ReadElement(*this))> Elements;
    const Json::Value &Array = listValue(Key);
    Elements.reserve(Array.size());
    for (const Json::Value &Element : Array) {
      json_reader Reader(Element, Name + "." + Key);
      Elements.push_back(ReadElement(Reader));
      appendFaults(Reader);
      if (Faults.size() >= MaxFaults)
        break;
    }
    return Elements;
  }

  /// Returns \p Read, or BadRequest with all faults.
  template <typename Value> base::result<Value> finish(Value Read) const {
    if (Faults.empty())
      return Read;
    return base::fail(base::error_kind::BadRequest, joinedFaults());
  }

private:
  /// Further faults are not reported.
  static constexpr std::size_t MaxFaults = 16;

  [[nodiscard]] const Json::Value &field(const char *Key) const;
  [[nodiscard]] const Json::Value &listValue(const char *Key);
  [[nodiscard]] std::string joinedFaults() const;
  void addFault(const char *Key, const std::string &Expected);
  void appendFaults(const json_reader &Element);

  const Json::Value &Object;
  std::string Name;
  std::vector<std::string> Faults;
};

} // namespace fulmar::directory

#endif // FULMAR_DIRECTORY_INTERNAL_JSONREADER_H
