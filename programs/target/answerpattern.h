// The body of a stand-in target's answer, derived from the request, so that a
// caller can check that an answer is whole and belongs to its own request.

#ifndef FULMAR_TARGET_ANSWERPATTERN_H
#define FULMAR_TARGET_ANSWERPATTERN_H

#include "fulmar/base/rendezvous.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace fulmar::target {

/// Digest of a body that arrives in pieces of any size.
class running_digest {
public:
  void add(std::string_view Piece) {
    Total += Piece.size();
    while (!Piece.empty()) {
      const std::size_t Taken =
          std::min(Piece.size(), BlockBytes - Block.size());
      Block.append(Piece.substr(0, Taken));
      Piece.remove_prefix(Taken);
      if (Block.size() == BlockBytes)
        closeBlock();
    }
  }

  [[nodiscard]] std::uint64_t value() const {
    return Block.empty() ? Digest : base::digest(Block, Digest);
  }
  [[nodiscard]] std::uint64_t bytes() const { return Total; }

private:
  static constexpr std::size_t BlockBytes = 65536;

  void closeBlock() {
    Digest = base::digest(Block, Digest);
    Block.clear();
  }

  // Always shorter than BlockBytes between two calls.
  std::string Block;
  std::uint64_t Digest = 0;
  std::uint64_t Total = 0;
};

/// First line of the answer to the request tagged \p Tag.
inline std::string answerLine(std::string_view Tag, std::uint64_t BodyDigest,
                              std::uint64_t BodyBytes) {
  return "tag=" + std::string(Tag) + " digest=" + std::to_string(BodyDigest) +
         " bytes=" + std::to_string(BodyBytes) + "\n";
}

/// The repeated block that fills an answer up to the size asked for.
inline std::string answerBlock(std::string_view Tag) {
  constexpr std::size_t BlockBytes = 4096;
  std::string Block;
  for (std::uint64_t Part = 0; Block.size() < BlockBytes; ++Part)
    Block += std::to_string(base::digest(Tag, Part));
  Block.resize(BlockBytes);
  return Block;
}

/// Calls \p Send with consecutive pieces of \p Bytes bytes of filling; ends
/// early when it returns false.
template <typename Sink>
void fillAnswer(std::string_view Tag, std::uint64_t Bytes, Sink &&Send) {
  const std::string Block = answerBlock(Tag);
  while (Bytes > 0) {
    const auto Size = std::min<std::uint64_t>(Bytes, Block.size());
    if (!Send(std::string_view(Block).substr(0, Size)))
      return;
    Bytes -= Size;
  }
}

} // namespace fulmar::target

#endif // FULMAR_TARGET_ANSWERPATTERN_H
