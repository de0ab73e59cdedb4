// Runs a fuzz target on a fixed number of inputs, mutated from the seeds by a fixed seed: the short run of
// CI, and the only one with compilers that have no libFuzzer.
#include "fuzz-target.h"

#include <CLI/CLI.hpp>

#include <unistd.h>

#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <set>

namespace {

constexpr int maxMutations = 8; // Per input.
constexpr std::size_t maxInsert = 64;
constexpr std::size_t maxInputBytes = 8192;

/// Tokens at which decoders branch; random bytes rarely form them.
constexpr std::array<std::string_view, 18> tokens { "\r\n", "\r\n\r\n", "\n", ":", ";", " ", "0", "ffffffff",
    "ffffffffffffffff", "-1", "1e999", "99999999999999999999", "[", "{", "\"", "\\u0000",
    "Content-Length: ", "Transfer-Encoding: chunked\r\n" };

std::string runningInput; ///< Read by the signal handler.
std::array<char, 64> runningName {};

// The target ends the process when a property does not hold; the input that led there is written first.
void reportInput(int number)
{
    (void)!write(STDERR_FILENO, runningName.data(), std::char_traits<char>::length(runningName.data()));
    (void)!write(STDERR_FILENO, runningInput.data(), runningInput.size());
    std::signal(number, SIG_DFL);
    std::raise(number);
}

class Mutator {
public:
    Mutator(std::uint64_t seed, std::vector<std::string> seeds)
        : m_random(seed)
        , m_seeds(std::move(seeds))
    {
    }

    std::string next()
    {
        auto input = m_seeds[below(m_seeds.size())];
        for (auto left = 1 + below(maxMutations); left > 0; --left)
            mutate(input);
        input.resize(std::min(input.size(), maxInputBytes));
        return input;
    }

private:
    std::size_t below(std::size_t bound) { return m_random() % bound; }
    std::size_t positionIn(const std::string& text) { return below(text.size() + 1); }

    void mutate(std::string& input)
    {
        const auto at = positionIn(input);
        const auto length = 1 + below(maxInsert);
        switch (below(6)) {
        case 0:
            if (at < input.size())
                input[at] = static_cast<char>(input[at] ^ (1 << below(8)));
            return;
        case 1:
            input.insert(at, 1, static_cast<char>(below(256)));
            return;
        case 2:
            input.erase(at, length);
            return;
        case 3:
            input.insert(at, tokens[below(tokens.size())]);
            return;
        case 4:
            input.insert(positionIn(input), input.substr(at, length));
            return;
        default: // The rest comes from another seed.
            const auto& other = m_seeds[below(m_seeds.size())];
            input = input.substr(0, at) + other.substr(positionIn(other));
        }
    }

    std::mt19937_64 m_random;
    const std::vector<std::string> m_seeds;
};

std::vector<std::string> readSeeds(const std::string& folder)
{
    std::set<std::string> files; // Sorted: the order of a folder differs between machines.
    for (const auto& entry : std::filesystem::directory_iterator(folder))
        files.insert(entry.path());
    std::vector<std::string> seeds;
    for (const auto& file : files) {
        std::ifstream in(file, std::ios::binary);
        seeds.emplace_back(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>());
    }
    return seeds;
}

void run(const std::string& name, std::string input)
{
    name.copy(runningName.data(), runningName.size() - 1);
    runningInput = std::move(input);
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(runningInput.data()), runningInput.size());
}

} // namespace

int main(int argc, char** argv)
{
    std::string folder;
    std::uint64_t seed = 1;
    std::uint64_t inputs = 200'000;
    CLI::App app("Seeded run of a fuzz target");
    app.add_option("seeds", folder, "Folder of seed inputs")->required()->check(CLI::ExistingDirectory);
    app.add_option("--seed", seed, "Seed of the mutations");
    app.add_option("--inputs", inputs, "Number of mutated inputs");
    CLI11_PARSE(app, argc, argv);
    for (const auto number : { SIGABRT, SIGSEGV, SIGBUS, SIGFPE })
        std::signal(number, reportInput);
    const auto seeds = readSeeds(folder);
    if (seeds.empty()) {
        std::cerr << "fuzz: " << folder << " holds no seed\n";
        return 2;
    }
    for (const auto& each : seeds)
        run("fuzz: a seed:\n", each);
    Mutator mutator(seed, seeds);
    for (std::uint64_t i = 0; i < inputs; ++i)
        run("fuzz: mutated input " + std::to_string(i) + ":\n", mutator.next());
    std::cout << "fuzz: " << seeds.size() << " seeds and " << inputs << " mutated inputs, seed " << seed
              << '\n';
    return 0;
}
