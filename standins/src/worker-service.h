// Several workers of one zone as HTTP services, one port each, with one control port.
#pragma once

#include "faults.h"
#include "heartbeat.h"
#include "http-service.h"
#include "recorder.h"
#include "worker-machine.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace jujubereach::standins {

struct WorkerOptions {
    std::vector<std::string> ids; ///< "<rack>/<index>"; worker i listens on `port` + i.
    std::string zone;
    std::uint16_t port = 0; ///< 0 takes any free ports.
    std::uint16_t controlPort = 0;
    std::uint32_t accelerators = 8;
    std::string platform; ///< Address of the platform; empty when the workers are not listed.
};

/// Control: {"worker":"r1/0"} picks one worker, all without it; {faults}, "failStarts" and "die" (booleans).
class WorkerService {
public:
    explicit WorkerService(const WorkerOptions& options);
    ~WorkerService();

    std::string address(std::size_t worker) const { return m_workers.at(worker)->address; }
    std::string controlAddress() const { return m_control->address(); }

private:
    struct Worker {
        std::string id;
        std::string address;
        std::mutex mutex;
        std::unique_ptr<WorkerMachine> machine; ///< Guarded by mutex.
        Faults faults;
        std::atomic<bool> isDead { false };
        std::unique_ptr<HttpService> service;
    };

    void addWorker(const WorkerOptions& options, std::size_t index);
    Answer sync(Worker& worker, const Call& call);
    Answer control(const Call& call);
    void set(Worker& worker, const JsonObject& switches);
    void advanceAll();
    std::vector<platform::Machine> machines() const;

    const std::string m_zone;
    Recorder m_recorder;
    std::vector<std::unique_ptr<Worker>> m_workers; ///< Fixed after construction.
    std::atomic<bool> m_stopped { false };
    std::unique_ptr<HttpService> m_control;
    std::unique_ptr<Heartbeat> m_heartbeat;
    std::thread m_ticker; ///< Ends what is due, so that it is recorded without waiting for a sync.
};

} // namespace jujubereach::standins
