// What counts as a name in the document.

#ifndef FULMAR_DOCUMENT_NAMES_H
#define FULMAR_DOCUMENT_NAMES_H

#include <algorithm>
#include <cctype>
#include <cstddef>
#include <string_view>

namespace fulmar::document {

inline constexpr std::size_t MaxNameBytes = 64;

inline bool isName(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxNameBytes &&
         std::all_of(Text.begin(), Text.end(), [](unsigned char Letter) {
           return Letter < 0x80 &&
                  (std::isalnum(Letter) != 0 || Letter == '-' || Letter == '_');
         });
}

} // namespace fulmar::document

#endif // FULMAR_DOCUMENT_NAMES_H
