// Text of a shard: one line for each record, found and replaced without reading the others.
#pragma once

#include "jujubereach/dispatch/once.h"

#include <optional>
#include <string>
#include <string_view>

namespace jujubereach::dispatch {

/// A line is "<key> <created> <JSON>"; the first line names the format.
class OnceShardText {
public:
    /// Nothing when the value is not a shard. An empty value is an empty shard.
    static std::optional<OnceShardText> from(const std::string& value);

    std::optional<OnceRecord> find(const std::string& key) const;
    /// Adds the record, or takes the place of the one with its key.
    void put(const OnceRecord& record);
    /// Drops records created before `oldest`.
    void prune(WallTime oldest);

    const std::string& value() const { return m_text; }

private:
    explicit OnceShardText(std::string text)
        : m_text(std::move(text))
    {
    }

    /// The line of the key with its line break; empty when there is none.
    std::string_view lineOf(const std::string& key) const;

    std::string m_text; // header and whole lines
};

} // namespace jujubereach::dispatch
