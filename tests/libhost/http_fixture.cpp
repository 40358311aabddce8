#include "libhost/http_fixture.h"

namespace chivevane::test {

namespace {

http_server_options listen_on(std::uint16_t port)
{
    http_server_options options;
    options.m_ip = http_fixture::ip;
    options.m_port = port;
    return options;
}

} // namespace

http_fixture::http_fixture()
    : m_caller_server(m_loop, listen_on(caller_port),
                      {[this](const received_request& request) { m_on_caller_request(request); },
                       [](std::uint64_t) {}},
                      m_last_exchange),
      m_remote_server(m_loop, listen_on(remote_port),
                      {[this](const received_request& request) { m_on_remote_request(request); },
                       [](std::uint64_t) {}},
                      m_last_exchange)
{
    m_caller_server.open();
    m_remote_server.open();
}

http_fixture::~http_fixture()
{
    m_caller_server.close();
    m_remote_server.close();
}

bool http_fixture::run_until(const std::function<bool()>& condition)
{
    constexpr auto timeout = std::chrono::seconds{60}; // A correct program is much faster.
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition() && std::chrono::steady_clock::now() < deadline) {
        m_loop.run_one_for(std::chrono::milliseconds{100});
    }
    return condition();
}

} // namespace chivevane::test
