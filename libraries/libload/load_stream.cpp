#include "libload/load_stream.h"

#include <yaml-cpp/yaml.h>

namespace chivevane {

namespace {

constexpr double max_duration_s = 900;
constexpr double max_total_requests_per_s = 50'000;

target_choice parse_target_choice(const std::string& text)
{
    if (text == "single") {
        return target_choice::single;
    }
    return text == "moving" ? target_choice::moving : target_choice::spread;
}

load_stream read_stream(const YAML::Node& node)
{
    load_stream stream;
    stream.m_name = node["name"].as<std::string>();
    stream.m_key = node["key"].as<std::string>("");
    stream.m_method = node["method"].as<std::string>("GET");
    stream.m_path = node["path"].as<std::string>();
    stream.m_rate = node["rate"].as<double>();
    stream.m_target_choice = parse_target_choice(node["targets"].as<std::string>("spread"));
    stream.m_limit_rate = node["limit_rate"].as<double>(0.0);
    stream.m_limit_burst = node["limit_burst"].as<double>(0.0);
    return stream;
}

load_plan read_plan(const YAML::Node& root)
{
    load_plan plan;
    plan.m_targets = root["targets"].as<std::vector<std::string>>();
    plan.m_duration = from_seconds(root["seconds"].as<double>());
    plan.m_seed = root["seed"].as<std::uint64_t>(1);
    for (const auto& node : root["streams"]) {
        plan.m_streams.push_back(read_stream(node));
    }
    return plan;
}

status check(const load_plan& plan)
{
    for (const auto& target : plan.m_targets) {
        if (!target.starts_with("127.")) {
            return error{error_kind::out_of_range, "The target " + target + " is not on loopback.",
                         "Give addresses of 127.0.0.0/8 only."};
        }
    }
    double total_rate = 0;
    for (const auto& stream : plan.m_streams) {
        total_rate += stream.m_rate;
    }
    if (plan.m_targets.empty() || plan.m_streams.empty() || total_rate > max_total_requests_per_s ||
        to_seconds(plan.m_duration) > max_duration_s) {
        return error{error_kind::out_of_range,
                     "The plan has no targets, no streams or too much work.",
                     "Give targets and streams, at most 50000 requests/s and 900 seconds."};
    }
    return success();
}

} // namespace

result<load_plan> parse_load_plan(std::string_view text)
{
    try {
        auto plan = read_plan(YAML::Load(std::string{text}));
        if (const auto checked = check(plan); is_error(checked)) {
            return error_of(checked);
        }
        return plan;
    }
    catch (const YAML::Exception& problem) {
        return error{error_kind::syntax, problem.what(),
                     "Correct the plan; see libload/load_stream.h for its fields."};
    }
}

} // namespace chivevane
