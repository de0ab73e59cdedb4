// Runs scenarios, one after the other, and prints one line for each invariant under proof.
#include "check.h"
#include "child-process.h"
#include "report.h"
#include "run.h"

#include <CLI/CLI.hpp>
#include <Poco/Exception.h>
#include <Poco/File.h>

#include <csignal>
#include <iostream>
#include <unistd.h>

using namespace jujubereach;
using namespace jujubereach::scenarios;

namespace {

struct Options {
    std::string bin;
    std::string logs;
    std::string only;
    std::string knownRedFile = "KNOWN-RED.txt";
    std::set<std::string> knownRed; ///< Scenarios that fail for a known fault.
    bool narrates = false;
    std::vector<std::string> files;
};

void endAll(int)
{
    killAllChildren();
    ::_exit(1);
}

// Prepares an empty log folder of the scenario's own.
std::string logFolderFor(const Options& options, const Scenario& scenario)
{
    auto folder = options.logs + "/" + scenario.name;
    Poco::File file(folder);
    if (file.exists())
        file.remove(true);
    file.createDirectories();
    return folder;
}

bool runScenario(const Options& options, const Scenario& scenario)
{
    const auto logs = logFolderFor(options, scenario);
    const auto started = steadyClock()();
    Fleet fleet(options.bin, logs);
    Run run(scenario, fleet, options.narrates);
    const auto outcome = outcomeOf([&]() -> Result<bool> {
        JUJUBEREACH_CHECK(run.execute());
        return true;
    });
    Verdict verdict { scenario, outcome ? std::string() : textOf(outcome.error), observe(run.evidence()),
        logs, steadyClock()() - started };
    report(verdict, std::cout);
    return verdict.isGood();
}

int runAll(const Options& options)
{
    int bad = 0;
    for (const auto& file : options.files) {
        const auto scenarios = outcomeOf([&] { return readScenarios(file); });
        if (!scenarios) {
            std::cerr << "scenario-runner: " << textOf(scenarios.error) << '\n';
            return 2;
        }
        for (const auto& scenario : *scenarios.value) {
            const bool isWanted = options.only.empty() || scenario.name == options.only;
            if (!isWanted || runScenario(options, scenario))
                continue;
            if (options.knownRed.contains(scenario.name))
                std::cout << "KNOWN RED scenario " << scenario.name << '\n';
            else
                ++bad;
        }
    }
    return bad == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Runs scenarios against entry hosts and stand-ins", "scenario-runner");
    Options options;
    app.add_option("--bin", options.bin, "Folder of the programs")->required()->check(CLI::ExistingDirectory);
    app.add_option("--logs", options.logs, "Folder of the processes' logs; beside --bin by default");
    app.add_option("--only", options.only, "Run only the scenario of this name");
    app.add_option("--known-red", options.knownRedFile, "List of scenarios that fail for a known fault")
        ->capture_default_str();
    app.add_flag("--narrate", options.narrates, "Tell each outcome in words");
    app.add_option("files", options.files, "Scenario files")->required()->check(CLI::ExistingFile);
    CLI11_PARSE(app, argc, argv);
    options.knownRed = readKnownRed(options.knownRedFile);
    if (options.logs.empty())
        options.logs = options.bin + "/../scenario-logs";
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGINT, endAll);
    std::signal(SIGTERM, endAll);
    try {
        return runAll(options);
    } catch (const std::exception& error) {
        std::cerr << "scenario-runner: " << error.what() << '\n';
        return 2;
    }
}
