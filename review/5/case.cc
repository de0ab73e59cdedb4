// A rolling restart of entry hosts: is each request that a host has read whole answered whole?
//
// Three hosts of one zone; two of them get SIGTERM at a time, so that fewer than half of the zone's hosts are
// in rotation and the platform uses all of them. Clients ask for the states of running jobs.
#include "standins.h"

#include <random>

using namespace review;

namespace {

constexpr int clients = 24;
constexpr std::int64_t lossSlackMs = 200;
constexpr int rounds = 6;

std::string idOf(int number)
{
    char id[17];
    std::snprintf(id, sizeof id, "%016x", 0xc0c00000 + number);
    return id;
}

} // namespace

int main(int, char** arguments)
{
    record.open(arguments[1]);
    const std::string folder = arguments[2];
    Store store;
    Runs runs;
    std::vector<std::unique_ptr<Worker>> workers;
    for (int i = 0; i < 8; ++i)
        workers.push_back(std::make_unique<Worker>(store, runs, "w" + std::to_string(i), "z", "a", "r0"));
    store.put("op/config", configText(1));
    std::vector<std::unique_ptr<Host>> hosts;
    for (int i = 0; i < 3; ++i)
        hosts.push_back(
            std::make_unique<Host>(folder, "edge-" + std::to_string(i + 1), "z", store, Bounds {}));
    if (!awaitReady(hosts, 10'000))
        finish(hosts, 2, "the hosts did not become ready");
    sleepMs(3000);
    // Jobs that run for the whole time.
    for (int i = 0; i < clients; ++i) {
        const json::object job { { "Spec", json::serialize(json::object { { "workMs", 300'000 } }) },
            { "Steps",
                json::array { json::object { { "Count", 1 }, { "Cpu", 1000 }, { "MemMb", 1000 }, { "Gpu", 1 },
                    { "EstimateMs", 300'000 } } } } };
        if (submit(hosts[static_cast<std::size_t>(i % 3)]->port(), idOf(i), job).status != 200)
            finish(hosts, 2, "a job was not accepted");
    }
    sleepMs(2000);

    // The platform: asks each host once a second; after two misses it gets no new connection until it answers
    // 200 again. If fewer than half of the zone's hosts are in rotation, all of them are used.
    std::mutex mutex;
    std::vector<int> ports;
    for (const auto& host : hosts)
        ports.push_back(host->port());
    std::thread([&] {
        std::vector<int> misses(hosts.size(), 0);
        while (true) {
            std::vector<int> ready, all;
            for (std::size_t i = 0; i < hosts.size(); ++i) {
                misses[i] = hosts[i]->isReady() ? 0 : misses[i] + 1;
                all.push_back(hosts[i]->port());
                if (misses[i] < 2)
                    ready.push_back(hosts[i]->port());
            }
            {
                const std::lock_guard lock(mutex);
                ports = 2 * ready.size() < all.size() ? all : ready;
            }
            sleepMs(1000);
        }
    }).detach();
    std::map<int, std::int64_t> termAt;
    std::vector<std::string> broken;
    std::atomic<int> calls { 0 };
    std::atomic<bool> over { false };
    std::vector<std::thread> threads;
    for (int i = 0; i < clients; ++i) {
        threads.emplace_back([&, i] {
            std::mt19937 random(static_cast<unsigned>(i));
            while (!over) {
                int port;
                {
                    const std::lock_guard lock(mutex);
                    port = ports[random() % ports.size()];
                }
                const auto answer = call(port, "GET", prefix + idOf(i), hostName, apiKey, "", 3000);
                ++calls;
                if (answer.status == 0) {
                    const std::lock_guard lock(mutex);
                    const auto term = termAt.contains(port) ? answer.endedAt - termAt[port] : -1;
                    record.line("GET " + idOf(i) + " at port " + std::to_string(port) + ": " + answer.failure
                        + ", sent " + std::to_string(answer.endedAt - answer.sentAt) + " ms before, "
                        + std::to_string(term) + " ms after SIGTERM");
                    if (answer.sentAt > 0 && answer.endedAt - answer.sentAt > lossSlackMs && term >= 0
                        && term <= 7000)
                        broken.push_back("LOST: a GET was cut "
                            + std::to_string(answer.endedAt - answer.sentAt)
                            + " ms after its last byte was sent, " + std::to_string(term)
                            + " ms after the SIGTERM");
                }
                sleepMs(20);
            }
        });
    }
    for (int round = 0; round < rounds; ++round) {
        if (!hasTrouble()) {
            sleepMs(9000);
            continue;
        }
        Host* stopped[] = { hosts[static_cast<std::size_t>(round % 3)].get(),
            hosts[static_cast<std::size_t>((round + 1) % 3)].get() };
        for (auto* host : stopped) {
            const std::lock_guard lock(mutex);
            termAt[host->port()] = nowMs();
            host->signal(SIGTERM);
        }
        for (auto* host : stopped) {
            host->wait();
            host->start();
        }
        sleepMs(4000);
    }
    over = true;
    for (auto& thread : threads)
        thread.join();
    for (const auto& text : broken)
        record.line("BROKEN " + text);
    record.line(std::to_string(calls) + " calls");
    if (!broken.empty())
        finish(hosts, 1, std::to_string(broken.size()) + " times, first: " + broken[0]);
    finish(hosts, 0, "no rule was broken in " + std::to_string(calls) + " calls");
}
