#include "libpolicy/host_fixture.h"

#include "libbase/result.h"
#include "libwire/attempt_metadata.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <yaml-cpp/yaml.h>

#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

using namespace chivevane;
using namespace chivevane::test;

namespace {

/// Feeds the events of a golden file to a host, one after another, and prints the effects of each.
class golden_session : public host_fixture {
public:
    golden_session() { load_sample_document(); }

    std::vector<std::string> run_step(const YAML::Node& step)
    {
        m_now += std::chrono::milliseconds{step["after_ms"].as<int>(0)};
        std::vector<std::string> printed;
        for (const auto& item : feed(parse(step["event"]))) {
            if (auto text = print(item); !text.empty()) {
                printed.push_back(std::move(text));
            }
        }
        return printed;
    }

private:
    static std::vector<http_field> fields_of(const YAML::Node& node)
    {
        std::vector<http_field> fields;
        for (const auto& entry : node) {
            fields.push_back({entry.first.as<std::string>(), entry.second.as<std::string>()});
        }
        return fields;
    }

    /// Returns the id of the attempt that the transfer called `name` carried. Returns `name` itself
    /// if no transfer has that name.
    std::string attempt_of(const std::string& name) const
    {
        const auto found = m_attempts.find(name);
        return found == m_attempts.end() ? name : found->second;
    }

    event_body parse_request(const YAML::Node& node)
    {
        inbound_request request;
        request.m_exchange = node["exchange"].as<exchange_id>();
        request.m_head = {node["method"].as<std::string>(), node["target"].as<std::string>(),
                          fields_of(node["fields"])};
        // A request that a transfer of this host carried arrives at the gate of the same host.
        if (const auto sent_with = node["as_sent_with"]) {
            request.m_listener = listener_kind::gate;
            request.m_head = m_heads.at(sent_with.as<std::string>());
        }
        return request;
    }

    event_body parse_head(const YAML::Node& node)
    {
        const auto name = node["transfer"].as<std::string>();
        transfer_head answer{m_transfers.at(name),
                             {node["status"].as<std::uint16_t>(), fields_of(node["fields"])}};
        if (node["echo"]) {
            answer.m_head.m_fields.push_back(
                {std::string{attempt_field}, attempt_of(node["echo"].as<std::string>())});
        }
        return answer;
    }

    static event_body parse_host_record(const YAML::Node& node)
    {
        const auto number = node["peer"].as<int>();
        host_record record{{fmt::format("marsh-{}", number), 1}, "marsh"};
        record.m_address = {fmt::format("127.0.1.{}", number), 7001, 7002, 7003, 7004};
        record.m_upstreams.push_back({"permits-1", "permits", 4, 4, 0, warm_up_state::warm});
        record.m_upstreams.push_back({"tides-1", "tides", 4, 4, 0, warm_up_state::warm});
        return datagram_received{record.m_identity, 1, {}, record};
    }

    event_body parse(const YAML::Node& node)
    {
        const auto kind = node["kind"].as<std::string>();
        if (kind == "inbound_request") {
            return parse_request(node);
        }
        if (kind == "transfer_head") {
            return parse_head(node);
        }
        if (kind == "heartbeat") {
            return parse_host_record(node);
        }
        if (kind == "transfer_ended") {
            const auto end = node["end"].as<std::string>();
            return transfer_ended{m_transfers.at(node["transfer"].as<std::string>()),
                                  end == "complete" ? transfer_end::complete
                                                    : transfer_end::connection_lost,
                                  node["body_bytes"].as<std::uint64_t>(0)};
        }
        if (kind == "void_response") {
            const auto id = parse_attempt_id(attempt_of(node["transfer"].as<std::string>()));
            const auto status = node["fate"].as<std::string>() == "not-run"
                                    ? execution_status::not_run
                                    : execution_status::may_have_run;
            return datagram_received{
                {"marsh-2", 1}, 2, {}, cancel_attempt_response{*id, 1, status}};
        }
        if (kind == "crash_report") {
            return datagram_received{{"marsh-2", 1},
                                     3,
                                     {},
                                     crash_report{m_fingerprint, node["strike"].as<std::string>()}};
        }
        if (kind == "upstream_announced") {
            return upstream_announcement{node["endpoint"].as<std::string>(),
                                         node["service"].as<std::string>(),
                                         "127.0.1.1",
                                         9000,
                                         4,
                                         warm_up_state::warm};
        }
        if (kind == "leave_requested") {
            return leave_requested{};
        }
        BOOST_TEST_REQUIRE(kind == "timer_fired");
        return timer_fired{};
    }

    std::string name_of(transfer_id transfer) const
    {
        const auto found =
            std::find_if(m_transfers.begin(), m_transfers.end(),
                         [transfer](const auto& entry) { return entry.second == transfer; });
        return found == m_transfers.end() ? "?" : found->first;
    }

    std::string print_start(const start_transfer& transfer)
    {
        const auto name = fmt::format("t{}", m_transfers.size() + 1);
        const auto attempt = find_field(transfer.m_head.m_fields, attempt_field);
        m_transfers[name] = transfer.m_transfer;
        m_heads[name] = transfer.m_head;
        m_attempts[name] = std::string{attempt.value_or("")};
        if (const auto metadata = parse_attempt_metadata(transfer.m_head, 0, "secret");
            !is_error(metadata)) {
            m_fingerprint = value_of(metadata).m_fingerprint;
        }
        auto text = fmt::format(
            "start_transfer {} of {} to {}:{} {} {}{}", name, transfer.m_exchange, transfer.m_ip,
            transfer.m_port, transfer.m_head.m_method, transfer.m_head.m_target,
            transfer.m_connection_reuse == connection_reuse::forbidden ? " fresh" : "");
        for (const auto& field : transfer.m_head.m_fields) {
            if (field.m_name == "Range" || field.m_name == "If-Range" ||
                field.m_name == "Authorization" || field.m_name == attempt_field) {
                text += fmt::format(" {}={}", field.m_name, field.m_value);
            }
        }
        return text;
    }

    std::string print(const effect& item)
    {
        return std::visit(
            overloaded{
                [&](const start_transfer& transfer) { return print_start(transfer); },
                [&](const respond& answer) {
                    return fmt::format("respond {} {} {}", answer.m_exchange,
                                       answer.m_head.m_status, answer.m_body);
                },
                [&](const relay_transfer& relay) {
                    const auto status =
                        relay.m_head ? std::to_string(relay.m_head->m_status) : "goes on";
                    return fmt::format("relay_transfer {} to {} {}", name_of(relay.m_transfer),
                                       relay.m_exchange, status);
                },
                [&](const cancel_transfer& cancelled) {
                    return fmt::format("cancel_transfer {}", name_of(cancelled.m_transfer));
                },
                [](const finish_exchange& end) {
                    return fmt::format("finish_exchange {}", end.m_exchange);
                },
                [](const abort_exchange& end) {
                    return fmt::format("abort_exchange {}", end.m_exchange);
                },
                [](const send_datagram& datagram) {
                    const auto* const request =
                        std::get_if<cancel_attempt_request>(&datagram.m_message);
                    return request == nullptr
                               ? std::string{}
                               : fmt::format("void_request {} to {}", to_string(request->m_attempt),
                                             datagram.m_to.m_ip);
                },
                [](const stop_process&) { return std::string{"stop_process"}; },
                [](const auto&) { return std::string{}; },
            },
            item);
    }

    std::map<std::string, transfer_id> m_transfers; ///< Keyed by the name in the file: t1, t2, ...
    std::map<std::string, std::string> m_attempts;  ///< Attempt ids, by name of the transfer.
    std::map<std::string, request_head> m_heads;    ///< Request heads, by name of the transfer.
    std::uint64_t m_fingerprint = 0; ///< The fingerprint of the latest request sent to a gate.
};

const std::vector<std::string> sessions{"ordinary", "void-then-elsewhere", "resume", "quarantine",
                                        "leaving"};

/// Compares the effects of a session with those in its file. Rewrites the file instead if
/// CHIVEVANE_REGENERATE is set.
void check_session(const std::string& name)
{
    const bool is_regenerating = std::getenv("CHIVEVANE_REGENERATE") != nullptr;
    const auto path = fmt::format("{}/tests/libpolicy/golden/{}.yaml", CHIVEVANE_SOURCE_DIR, name);
    YAML::Node steps = YAML::LoadFile(path);
    golden_session session;
    for (YAML::Node step : steps) {
        const auto effects = session.run_step(step);
        if (is_regenerating) {
            step["effects"] = effects;
            step["event"].SetStyle(YAML::EmitterStyle::Flow);
            continue;
        }
        const auto expected = step["effects"].as<std::vector<std::string>>();
        BOOST_TEST(effects == expected, boost::test_tools::per_element());
    }
    if (is_regenerating) {
        std::ofstream{path} << steps << '\n';
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(recorded_sessions)

BOOST_DATA_TEST_CASE(a_session_has_the_recorded_effects, boost::unit_test::data::make(sessions),
                     name)
{
    check_session(name);
}

BOOST_AUTO_TEST_SUITE_END()
