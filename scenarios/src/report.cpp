// The lines that tell the outcome of a scenario.
#include "report.h"

#include <Poco/DirectoryIterator.h>

#include <algorithm>
#include <deque>
#include <fstream>
#include <string_view>

namespace jujubereach::scenarios {

namespace {

    constexpr std::size_t lastLines = 8;
    constexpr std::size_t maxViolations = 10;

    bool isUnderProof(const Scenario& scenario, Invariant invariant)
    {
        const auto& proved = scenario.invariants;
        return std::find(proved.begin(), proved.end(), invariant) != proved.end();
    }

    bool isViolated(const Verdict& verdict, Invariant invariant)
    {
        return std::any_of(verdict.violations.begin(), verdict.violations.end(),
            [&](const Violation& violation) { return violation.invariant == invariant; });
    }

    std::string resultOf(const Verdict& verdict, Invariant invariant)
    {
        const bool violated = isViolated(verdict, invariant);
        if (verdict.scenario.isCounterCheck())
            return violated ? "broken" : "fail";
        const bool other = isViolated(verdict, Invariant::Other);
        return violated || other || !verdict.failedStep.empty() ? "fail" : "pass";
    }

    // A counter-check needs one of its invariants to break; the others are not reported.
    std::vector<Invariant> reported(const Verdict& verdict)
    {
        auto invariants = verdict.scenario.invariants;
        if (verdict.scenario.isCounterCheck()) {
            if (verdict.isBroken())
                std::erase_if(invariants, [&](Invariant i) { return !isViolated(verdict, i); });
            return invariants;
        }
        for (const auto& violation : verdict.violations) {
            if (violation.invariant != Invariant::Other
                && std::find(invariants.begin(), invariants.end(), violation.invariant) == invariants.end())
                invariants.push_back(violation.invariant);
        }
        return invariants;
    }

    void printLastLines(const std::string& folder, std::ostream& out)
    {
        for (Poco::DirectoryIterator file(folder), end; file != end; ++file) {
            std::ifstream in(file->path());
            std::deque<std::string> lines;
            for (std::string line; std::getline(in, line);) {
                lines.push_back(line);
                if (lines.size() > lastLines)
                    lines.pop_front();
            }
            if (!lines.empty())
                out << "  " << file->path() << ":\n";
            for (const auto& line : lines)
                out << "    " << line << '\n';
        }
    }

} // namespace

std::string textOf(const Error& error)
{
    auto text = error.what;
    if (!error.where.empty())
        text = error.where + ": " + text;
    if (!error.input.empty())
        text += " (" + error.input + ")";
    return text;
}

std::set<std::string> readKnownRed(const std::string& path)
{
    constexpr std::string_view prefix = "scenario ";
    std::set<std::string> names;
    std::ifstream in(path);
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with(prefix))
            names.insert(line.substr(prefix.size(), line.find(':') - prefix.size()));
    }
    return names;
}

bool Verdict::isBroken() const
{
    return std::any_of(violations.begin(), violations.end(),
        [&](const Violation& violation) { return isUnderProof(scenario, violation.invariant); });
}

bool Verdict::isGood() const
{
    return scenario.isCounterCheck() ? isBroken() : violations.empty() && failedStep.empty();
}

void report(const Verdict& verdict, std::ostream& out)
{
    const auto& scenario = verdict.scenario;
    for (auto invariant : reported(verdict)) {
        out << "SCENARIO name=" << scenario.name << " invariant=" << static_cast<int>(invariant)
            << " failure=" << scenario.failure << " result=" << resultOf(verdict, invariant)
            << " seed=" << scenario.seed;
        if (scenario.isCounterCheck())
            out << " counter=yes mechanism=" << scenario.brokenMechanism;
        if (verdict.isKnownRed)
            out << " known-red=yes";
        out << " seconds=" << static_cast<double>(verdict.took.count()) / 1000 << '\n';
    }
    if (!verdict.failedStep.empty() && !(scenario.isCounterCheck() && verdict.isGood()))
        out << "  step failed: " << verdict.failedStep << '\n';
    for (std::size_t i = 0; i < std::min(maxViolations, verdict.violations.size()); ++i)
        out << "  invariant " << static_cast<int>(verdict.violations[i].invariant) << ": "
            << verdict.violations[i].what << '\n';
    if (verdict.violations.size() > maxViolations)
        out << "  and " << verdict.violations.size() - maxViolations << " more\n";
    if (verdict.isKnownRed && verdict.isGood())
        out << "  passes although it is listed in KNOWN-RED.txt: take it off\n";
    if (!verdict.isGood()) {
        out << "  logs: " << verdict.logFolder << '\n';
        printLastLines(verdict.logFolder, out);
    }
    out << std::flush;
}

} // namespace jujubereach::scenarios
