// Reads the fields of a YAML map; a field that nobody read is a mistake in the scenario.
#pragma once

#include "jujubereach/base/error.h"
#include "jujubereach/base/time.h"
#include "jujubereach/platform/json.h"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jujubereach::scenarios {

class Fields {
public:
    /// `where` names the place in error messages. A scalar or list reads as the field "" alone.
    Fields(const YAML::Node& node, std::string where);

    bool has(const std::string& name) const;
    std::string text(const std::string& name, const std::string& fallback = {});
    std::int64_t number(const std::string& name, std::int64_t fallback);
    Duration duration(const std::string& name, Duration fallback); ///< Milliseconds.
    bool flag(const std::string& name, bool fallback = false);
    /// A list, or a single text as a list of one.
    std::vector<std::string> texts(const std::string& name);
    YAML::Node node(const std::string& name);

    const std::string& where() const { return m_where; }
    /// Fails when a field was of another type than it was read as, or was not read.
    Result<void> finish() const;

private:
    template <typename T> T read(const std::string& name, const T& fallback);

    YAML::Node m_node;
    std::string m_where;
    std::set<std::string> m_read;
    std::string m_fault; ///< Of the first field of a wrong type.
};

/// A YAML tree as JSON; unquoted scalars become booleans and numbers where they read as such.
Poco::Dynamic::Var toJson(const YAML::Node& node);

} // namespace jujubereach::scenarios
