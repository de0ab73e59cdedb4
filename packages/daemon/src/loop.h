// The control thread's queue of events, and the pool of threads for blocking calls.
#pragma once

#include "jujubereach/base/time.h"

#include <functional>
#include <memory>

namespace jujubereach::daemon {

using Task = std::function<void()>;

/// Runs tasks one at a time on the thread that called run(). post and postAfter may be called anywhere.
class ControlLoop {
public:
    ControlLoop();
    ~ControlLoop();

    void post(Task task);
    void postAfter(Duration delay, Task task);
    /// Runs the task again and again, `interval` after its last end.
    void every(Duration interval, Task task);
    void run();
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Threads for blocking calls. Tasks wait in line when all threads are busy.
class IoPool {
public:
    explicit IoPool(unsigned threads);
    ~IoPool(); ///< Waits for running tasks.

    void submit(Task task);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Runs a blocking function on the pool, then hands its result to `then` on the control thread.
template <typename F, typename Then> void callThen(IoPool& pool, ControlLoop& loop, F call, Then then)
{
    pool.submit([&loop, call = std::move(call), then = std::move(then)]() mutable {
        auto result = std::make_shared<decltype(call())>(call());
        loop.post([result, then = std::move(then)]() mutable { then(std::move(*result)); });
    });
}

} // namespace jujubereach::daemon
