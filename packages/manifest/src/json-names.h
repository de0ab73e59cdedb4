// Names and numbers as they stand in messages about a document.
#pragma once

#include <string>
#include <vector>

namespace jujubereach::manifest {

/// The known name within two edits of `name`; empty when none is close.
std::string closestName(const std::string& name, const std::vector<std::string>& known);

/// "a, b and c".
std::string joinNames(const std::vector<std::string>& names);

/// At most 40 characters of an input, control characters replaced, for a message.
std::string shortened(const std::string& input);

/// Shortest text of a number: "0.25", "1".
std::string shortNumber(double number);

} // namespace jujubereach::manifest
