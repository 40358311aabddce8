#include "libhost/announcement.h"

#include <nlohmann/json.hpp>

namespace chivevane {

namespace {

using nlohmann::json;

constexpr std::uint32_t max_slots = 10'000;
constexpr std::int64_t min_time_to_live_ms = 500;
constexpr std::int64_t max_time_to_live_ms = 60'000;

upstream_announcement read_announcement(const json& object)
{
    upstream_announcement announcement;
    announcement.m_endpoint = object.at("endpoint").get<std::string>();
    announcement.m_service = object.at("service").get<std::string>();
    announcement.m_ip = object.at("ip").get<std::string>();
    announcement.m_port = object.at("port").get<std::uint16_t>();
    announcement.m_slots = object.at("slots").get<std::uint32_t>();
    announcement.m_warm_up_state =
        object.value("warmth", "cold") == "warm" ? warm_up_state::warm : warm_up_state::cold;
    announcement.m_phase = object.value("phase", "serving") == "draining" ? upstream_phase::draining
                                                                          : upstream_phase::serving;
    announcement.m_run = object.value("run", std::uint64_t{0});
    const auto time_to_live_ms = object.value("time_to_live_ms", std::int64_t{5000});
    announcement.m_time_to_live = std::chrono::milliseconds{
        std::clamp(time_to_live_ms, min_time_to_live_ms, max_time_to_live_ms)};
    return announcement;
}

} // namespace

result<upstream_announcement> parse_announcement(std::string_view body)
{
    try {
        auto announcement = read_announcement(json::parse(body));
        if (announcement.m_endpoint.empty() || announcement.m_service.empty() ||
            announcement.m_slots == 0 || announcement.m_slots > max_slots) {
            return error{error_kind::out_of_range,
                         "An endpoint, a service and 1 to 10000 slots are needed.",
                         "Correct the announcement."};
        }
        return announcement;
    }
    catch (const json::exception& problem) {
        return error{error_kind::malformed, problem.what(),
                     "Send a JSON object with endpoint, service, ip, port and slots."};
    }
}

} // namespace chivevane
