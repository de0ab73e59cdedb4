// Base64 encoding of binary data for text formats.
#pragma once

#include <string>
#include <string_view>

namespace jujubereach {

/// Returns a single line with padding.
std::string toBase64(const std::string& bytes);

/// Decodes up to the first character outside the Base64 alphabet.
std::string fromBase64(std::string_view text);

} // namespace jujubereach
