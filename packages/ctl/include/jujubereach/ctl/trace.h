// The lines of one job from the logs of several hosts, in order, and what decided its outcome.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jujubereach::ctl {

struct LogLine {
    std::int64_t at = 0; ///< Unix milliseconds, by the host's own clock.
    std::string host;
    std::string event;
    std::map<std::string, std::string> fields; ///< The others, as text.
    std::string text; ///< The object as it was written.

    std::string field(const std::string& name) const;
};

/// Reads a line that ends with the object of a log; what stands before it, such as a collector's prefix, is
/// passed over. Nothing when there is no such object.
std::optional<LogLine> parseLine(const std::string& line);

struct Trace {
    std::vector<LogLine> lines; ///< Of the job, its tasks, and changes of owner while it was open.
    std::vector<std::string> gaps; ///< Why lines of it may be missing.
    std::string verdict; ///< One sentence or a few.
};

/// Finds the lines of a job among all lines of all hosts.
Trace traceOf(const std::string& id, std::vector<LogLine> lines);

/// Prints times since the first line, with a mark where nothing was logged for over two seconds.
void print(std::ostream& out, const Trace& trace);

} // namespace jujubereach::ctl
