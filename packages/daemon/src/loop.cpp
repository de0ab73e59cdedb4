#include "loop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>

namespace jujubereach::daemon {

namespace asio = boost::asio;

struct ControlLoop::Impl {
    asio::io_context context { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> guard { context.get_executor() };
};

ControlLoop::ControlLoop()
    : m_impl(std::make_unique<Impl>())
{
}

ControlLoop::~ControlLoop() = default;

void ControlLoop::post(Task task)
{
    asio::post(m_impl->context, std::move(task));
}

void ControlLoop::postAfter(Duration delay, Task task)
{
    auto timer = std::make_shared<asio::steady_timer>(m_impl->context, delay);
    timer->async_wait([timer, task = std::move(task)](const boost::system::error_code& error) {
        if (!error)
            task();
    });
}

void ControlLoop::every(Duration interval, Task task)
{
    postAfter(interval, [this, interval, task = std::move(task)] {
        task();
        every(interval, task);
    });
}

void ControlLoop::run()
{
    m_impl->context.run();
}

void ControlLoop::stop()
{
    m_impl->context.stop();
}

struct IoPool::Impl {
    explicit Impl(unsigned threads)
        : pool(threads)
    {
    }

    asio::thread_pool pool;
};

IoPool::IoPool(unsigned threads)
    : m_impl(std::make_unique<Impl>(threads))
{
}

IoPool::~IoPool()
{
    m_impl->pool.join();
}

void IoPool::submit(Task task)
{
    asio::post(m_impl->pool, std::move(task));
}

} // namespace jujubereach::daemon
