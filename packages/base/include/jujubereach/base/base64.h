// Bytes as text, for bodies that cannot hold them.
#pragma once

#include <string>
#include <string_view>

namespace jujubereach {

/// One line, padded.
std::string toBase64(const std::string& bytes);

/// Stops at the first character that is none of the alphabet.
std::string fromBase64(std::string_view text);

} // namespace jujubereach
