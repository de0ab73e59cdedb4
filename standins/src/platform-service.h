// The platform as one HTTP service: the key-value service and the list of machines.
#pragma once

#include "call-limits.h"
#include "faults.h"
#include "host-registry.h"
#include "http-service.h"
#include "kv-store.h"
#include "recorder.h"

#include <cstdint>
#include <memory>

namespace jujubereach::standins {

struct PlatformOptions {
    std::uint16_t port = 0;
    std::uint16_t controlPort = 0;
    std::uint32_t writesPerSecond = 500;
    std::uint32_t readsPerSecond = 2000;
    Duration hostListLag { 1000 };
    Duration hostTimeToLive { 3000 };
};

/// Control: {"kv":{faults},"hosts":{faults}}. Record: every change of a key, and the calls per second.
class PlatformService {
public:
    explicit PlatformService(const PlatformOptions& options);
    ~PlatformService();

    std::string address() const { return m_service->address(); }
    std::string controlAddress() const { return m_control->address(); }

private:
    Answer serve(const Call& call);
    Answer serveKv(const Call& call);
    Answer act(const Call& call);
    Answer watch(const Call& call);
    Answer write(const Call& call);
    Answer serveHosts(const Call& call);
    Answer addMachines(const Call& call);
    Answer control(const Call& call);

    KvStore m_store;
    CallLimits m_limits;
    HostRegistry m_hosts;
    Recorder m_recorder;
    Faults m_kvFaults;
    Faults m_hostFaults;
    // Last, so that no request outlives what it uses.
    std::unique_ptr<HttpService> m_control;
    std::unique_ptr<HttpService> m_service;
};

} // namespace jujubereach::standins
