// One upstream as an HTTP service: slots, service time, and the ways in which it misbehaves.
#pragma once

#include "faults.h"
#include "heartbeat.h"
#include "http-service.h"
#include "recorder.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace jujubereach::standins {

struct UpstreamOptions {
    std::string id;
    std::string zone;
    std::uint16_t port = 0;
    std::uint16_t controlPort = 0;
    std::uint32_t slots = 8;
    Duration serviceTime { 20 };
    std::string platform; ///< Address of the platform; empty when the upstream is not listed.
};

/// Control: {faults}, "busy", "fail", "cutAnswers", "swapAnswers", "leaving", "quiet" (with leaving: still
/// runs what it is sent), "die" (booleans), "serviceMs"
/// and "spreadMs" (a random addition to the service time, which puts answers out of order). With
/// "swapAnswers" each request gets the answer, id included, of the one that ended before it.
class UpstreamService {
public:
    explicit UpstreamService(const UpstreamOptions& options);
    ~UpstreamService();

    std::string address() const { return m_address; }
    std::string controlAddress() const { return m_control->address(); }

private:
    struct Switches {
        bool isBusy = false;
        bool fails = false;
        bool cutsAnswers = false;
        bool swapsAnswers = false;
        bool isLeaving = false;
        bool isQuiet = false;
        bool isDead = false;
        Duration serviceTime { 0 };
        Duration spread { 0 };
    };

    Answer work(const Call& call);
    /// Takes a slot; else the reason for which the request is not run.
    std::string takeSlot();
    Answer run(const Call& call, const Switches& switches);
    /// What the caller gets for `own`: with "swapAnswers" the answer of the request before.
    Answer swapped(Answer own, const Switches& switches);
    Answer control(const Call& call);
    void set(const JsonObject& object);
    void record(const std::string& event, const Call& call, const std::string& reason);
    Switches switches() const;
    std::vector<platform::Machine> machines() const;

    const UpstreamOptions m_options;
    std::string m_address;
    Recorder m_recorder;
    Faults m_faults;
    mutable std::mutex m_mutex;
    // All guarded by m_mutex.
    Switches m_switches;
    std::optional<Answer> m_lastAnswer; ///< Of the last request that ended while answers were swapped.
    std::uint32_t m_running = 0; ///< At most the number of slots.
    Random m_random { 1 };

    std::unique_ptr<HttpService> m_control;
    std::unique_ptr<HttpService> m_service;
    std::unique_ptr<Heartbeat> m_heartbeat;
};

} // namespace jujubereach::standins
