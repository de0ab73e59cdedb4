#include "jujubereach/ctl/trace.h"

#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <iomanip>
#include <ostream>
#include <set>
#include <sstream>

namespace jujubereach::ctl {

namespace {

    constexpr std::int64_t silence = 2000; ///< Milliseconds; an owner's looks and saves come more often.

    bool isOwnership(const LogLine& line)
    {
        static const std::set<std::string> events { "claimed", "takeover", "doubt-over", "step-down",
            "superseded" };
        return events.contains(line.event);
    }

    bool concerns(const LogLine& line, const std::string& id)
    {
        if (line.field("id") == id)
            return true;
        const auto task = line.field("task");
        return task.starts_with(id + '.') || line.field("victims").find('"' + id + '.') != std::string::npos;
    }

    std::string seconds(std::int64_t milliseconds)
    {
        std::ostringstream out;
        out << std::fixed << std::setprecision(1) << static_cast<double>(milliseconds) / 1000 << " s";
        return out.str();
    }

    // Counts of words, such as "failed 2, broken 4".
    std::string listOf(const std::map<std::string, int>& counts)
    {
        std::string out;
        for (const auto& [word, count] : counts)
            out += (out.empty() ? "" : ", ") + word + ' ' + std::to_string(count);
        return out;
    }

    /// What the lines of a job say together.
    struct Story {
        const LogLine* submitted = nullptr; ///< The last answer to a submission.
        const LogLine* heard = nullptr;
        const LogLine* firstStart = nullptr;
        const LogLine* ended = nullptr;
        std::map<std::string, int> stops; ///< By why.
        std::map<std::string, int> ends; ///< By kind, done ones left out.
        std::map<std::string, int> failedOn; ///< By worker.
        int takeovers = 0; ///< Between the first line and the end.
        std::int64_t doubtUntil = 0; ///< When the last doubt after a takeover ended.

        explicit Story(const std::vector<LogLine>& lines)
        {
            for (const auto& line : lines)
                take(line);
        }

        void take(const LogLine& line)
        {
            if (line.event == "call" && line.field("kind") == "submit")
                submitted = submitted && submitted->field("outcome") == "accepted" ? submitted : &line;
            else if (line.event == "job" && !heard)
                heard = &line;
            else if (line.event == "start" && !firstStart)
                firstStart = &line;
            else if (line.event == "job-end")
                ended = &line;
            else if (line.event == "stop" || line.event == "run-lost")
                ++stops[line.field("why")];
            else if (line.event == "stalled")
                ++failedOn[line.field("worker")];
            else if (line.event == "takeover")
                ++takeovers;
            else if (line.event == "doubt-over")
                doubtUntil = line.at;
            else if (line.event == "end" && line.field("kind") != "done") {
                ++ends[line.field("kind")];
                if (line.field("kind") == "failed")
                    ++failedOn[line.field("worker")];
            }
        }
    };

    std::string refusalOf(const LogLine& call)
    {
        auto text = "It was answered '" + call.field("outcome") + "' by " + call.host + ", because "
            + call.field("why") + " (configuration " + call.field("configVersion") + ", confirmed "
            + call.field("newsAgeMs") + " ms before).";
        if (call.field("outcome") == "undecided")
            text += " Whether it was stored is not known from this line.";
        return text;
    }

    std::string waitsOf(const Story& story, std::int64_t begun)
    {
        std::string text;
        if (story.heard && story.heard->at - begun > silence)
            text += " The owner heard of it after " + seconds(story.heard->at - begun) + '.';
        if (story.firstStart) {
            text += " Its first task started after " + seconds(story.firstStart->at - begun);
            if (story.takeovers > 0)
                text += story.doubtUntil > begun && story.doubtUntil <= story.firstStart->at
                    ? ", once a new owner's doubt of silent workers was over"
                    : ", with a change of owner in between";
            text += '.';
        }
        if (!story.stops.empty())
            text += " Runs given up: " + listOf(story.stops) + '.';
        if (!story.ends.empty())
            text += " Ends other than done: " + listOf(story.ends) + '.';
        return text;
    }

    std::string failureOf(const Story& story)
    {
        if (story.failedOn.size() == 1)
            return " All failures were on worker " + story.failedOn.begin()->first
                + ": look at its other tasks.";
        if (story.failedOn.size() > 1)
            return " It failed on " + std::to_string(story.failedOn.size()) + " workers ("
                + listOf(story.failedOn) + "): if these finish other work, the fault is the job's.";
        return {};
    }

    std::string verdictOf(const std::vector<LogLine>& lines, const std::string& id)
    {
        if (lines.empty())
            return "No line names " + id
                + ": it reached none of these hosts, or their lines are of another time.";
        const Story story(lines);
        const auto accepted = story.submitted && story.submitted->field("outcome") == "accepted";
        if (story.submitted && !accepted && !story.heard)
            return refusalOf(*story.submitted);
        const auto begun = accepted ? story.submitted->at : lines.front().at;
        if (!story.ended) {
            if (!story.heard && !story.firstStart)
                return "It was accepted, and no owner's line names it: the owner's log is missing, or no "
                       "host "
                       "owned the fleet.";
            return "It has not ended in these lines." + waitsOf(story, begun);
        }
        auto text = "It ended as " + story.ended->field("state") + " after "
            + seconds(story.ended->at - begun) + ", because " + story.ended->field("why") + '.'
            + waitsOf(story, begun);
        if (story.ended->field("state") == "failed")
            text += failureOf(story);
        return text;
    }

} // namespace

std::string LogLine::field(const std::string& name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

std::optional<LogLine> parseLine(const std::string& line)
{
    const auto begin = line.find("{\"t\":");
    if (begin == std::string::npos)
        return std::nullopt;
    LogLine out;
    out.text = line.substr(begin);
    try {
        const auto object = Poco::JSON::Parser().parse(out.text).extract<Poco::JSON::Object::Ptr>();
        for (const auto& [name, value] : *object) {
            if (name == "t")
                out.at = value.convert<std::int64_t>();
            else if (name == "host")
                out.host = value.toString();
            else if (name == "event")
                out.event = value.toString();
            else
                out.fields[name] = value.toString();
        }
    } catch (const Poco::Exception&) {
        return std::nullopt; // Cut off, as by a full disk of the collector.
    }
    return out.event.empty() ? std::nullopt : std::optional(std::move(out));
}

Trace traceOf(const std::string& id, std::vector<LogLine> lines)
{
    std::stable_sort(
        lines.begin(), lines.end(), [](const LogLine& a, const LogLine& b) { return a.at < b.at; });
    std::int64_t first = 0;
    std::int64_t last = 0;
    for (const auto& line : lines) {
        if (!concerns(line, id))
            continue;
        first = first == 0 ? line.at : first;
        last = line.at;
    }
    Trace trace;
    std::map<std::string, int> leftOut;
    for (const auto& line : lines) {
        const auto during = first != 0 && line.at >= first && line.at <= last;
        if (concerns(line, id) || (during && isOwnership(line)))
            trace.lines.push_back(line);
        else if (during && line.event == "left-out")
            leftOut[line.host + " left out '" + line.field("kind") + "'"]
                += std::stoi('0' + line.field("lines"));
    }
    for (const auto& [what, count] : leftOut)
        trace.gaps.push_back(what + " lines: " + std::to_string(count));
    trace.verdict = verdictOf(trace.lines, id);
    return trace;
}

void print(std::ostream& out, const Trace& trace)
{
    auto before = trace.lines.empty() ? 0 : trace.lines.front().at;
    const auto first = before;
    for (const auto& line : trace.lines) {
        if (line.at - before > silence)
            out << "          ... " << seconds(line.at - before) << " without a line\n";
        before = line.at;
        out << std::setw(9) << std::fixed << std::setprecision(3)
            << static_cast<double>(line.at - first) / 1000 << ' ' << line.host << ' ' << line.event;
        for (const auto& [name, value] : line.fields)
            out << ' ' << name << '=' << value;
        out << '\n';
    }
    for (const auto& gap : trace.gaps)
        out << "Possibly incomplete: " << gap << '\n';
    out << trace.verdict << '\n';
}

} // namespace jujubereach::ctl
