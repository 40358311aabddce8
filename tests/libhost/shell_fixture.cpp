#include "libhost/shell_fixture.h"

namespace chivevane::test {

namespace {

http_server_options listen_on(std::uint16_t port)
{
    http_server_options options;
    options.m_ip = shell_fixture::ip;
    options.m_port = port;
    return options;
}

} // namespace

shell_fixture::shell_fixture()
    : m_front(m_loop, listen_on(front_port),
              {[this](const received_request& request) { m_serve_front(request); },
               [](std::uint64_t) {}},
              m_last_exchange),
      m_back(m_loop, listen_on(back_port),
             {[this](const received_request& request) { m_serve_back(request); },
              [](std::uint64_t) {}},
             m_last_exchange)
{
    m_front.open();
    m_back.open();
}

shell_fixture::~shell_fixture()
{
    m_front.close();
    m_back.close();
}

bool shell_fixture::run_until(const std::function<bool()>& condition)
{
    constexpr auto bound = std::chrono::seconds{60}; // Only a broken program takes this long.
    const auto give_up_at = std::chrono::steady_clock::now() + bound;
    while (!condition() && std::chrono::steady_clock::now() < give_up_at) {
        m_loop.run_one_for(std::chrono::milliseconds{100});
    }
    return condition();
}

} // namespace chivevane::test
