// chivevanectl is the operators' command-line tool. See docs/OPERATIONS.md.

#include "libbase/digest.h"
#include "libbase/read_file.h"
#include "libcontrol/curl_transport.h"
#include "libcontrol/run_command.h"
#include "libsettings/parse_settings.h"

#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>
#include <thread>

DEFINE_string(host, "127.0.0.1:8083", "administration addresses ip:port, tried in order");
DEFINE_string(token, "", "operator token; better use --token_file or CHIVEVANE_TOKEN");
DEFINE_string(token_file, "", "file with the operator token");
DEFINE_string(output, "text", "text or json");
DEFINE_int64(expected_revision, -1, "apply: the revision that the file was made from; 0: none");
DEFINE_double(wait, 0, "rollout: seconds to wait until every living host has the revision");
DEFINE_string(hosts, "", "timeline: the hosts to ask instead of all that are known");
DEFINE_uint64(limit, 1000, "timeline: entries of each host");
DEFINE_string(key, "", "explain: the caller's key, of which only the digest is sent");
DEFINE_string(key_file, "", "explain: file with the caller's key");
DEFINE_string(organisation, "", "explain: the caller's organisation in place of a key");
DEFINE_int64(timeout_ms, -1, "explain: the time in ms that the caller has left");
DEFINE_bool(all, false, "explain: ask all hosts that are not dead");
DEFINE_bool(json, false, "the same as --output=json");

namespace {

using namespace chivevane;
using namespace chivevane::control;

constexpr std::size_t secret_size = 32; // bytes

/// Parses a comma-separated list of ip:port addresses.
result<std::vector<std::string>> parse_addresses(const std::string& list)
{
    std::vector<std::string> addresses;
    std::istringstream stream{list};
    for (std::string item; std::getline(stream, item, ',');) {
        if (const auto endpoint = parse_endpoint(item); is_error(endpoint)) {
            return error_of(endpoint);
        }
        addresses.push_back(item);
    }
    return addresses;
}

/// Reads a secret from a file and drops the line ends after it.
result<std::string> read_secret(const std::string& path)
{
    auto content = read_file(path);
    if (is_error(content)) {
        return content;
    }
    auto secret = value_of(std::move(content));
    secret.erase(secret.find_last_not_of("\r\n") + 1);
    return secret;
}

result<std::string> read_token()
{
    if (!FLAGS_token.empty()) {
        return FLAGS_token;
    }
    if (FLAGS_token_file.empty()) {
        const auto* const token = std::getenv("CHIVEVANE_TOKEN");
        return std::string{token == nullptr ? "" : token};
    }
    return read_secret(FLAGS_token_file);
}

result<explain_options> read_explain_options()
{
    explain_options options{FLAGS_key, FLAGS_organisation, std::nullopt, FLAGS_all};
    if (FLAGS_timeout_ms >= 0) {
        options.m_timeout_ms = static_cast<std::uint64_t>(FLAGS_timeout_ms);
    }
    if (!FLAGS_key_file.empty()) {
        auto key = read_secret(FLAGS_key_file);
        if (is_error(key)) {
            return error_of(key);
        }
        options.m_key = value_of(std::move(key));
    }
    return options;
}

result<command_options> read_options()
{
    command_options options;
    if (FLAGS_output != "text" && FLAGS_output != "json") {
        return error{error_kind::out_of_range, "There is no output " + FLAGS_output + ".",
                     "Use text or json."};
    }
    options.m_output =
        FLAGS_json || FLAGS_output == "json" ? output_format::json : output_format::text;
    if (FLAGS_expected_revision >= 0) {
        options.m_expected_revision = static_cast<std::uint64_t>(FLAGS_expected_revision);
    }
    options.m_wait = from_seconds(FLAGS_wait);
    options.m_timeline_limit = FLAGS_limit;
    auto hosts = parse_addresses(FLAGS_hosts);
    if (is_error(hosts)) {
        return error_of(hosts);
    }
    options.m_timeline_hosts = value_of(std::move(hosts));
    auto explain = read_explain_options();
    if (is_error(explain)) {
        return error_of(explain);
    }
    options.m_explain = value_of(std::move(explain));
    return options;
}

result<session> open_session()
{
    auto hosts = parse_addresses(FLAGS_host);
    if (is_error(hosts)) {
        return error_of(hosts);
    }
    auto token = read_token();
    if (is_error(token)) {
        return error_of(token);
    }
    return session{value_of(std::move(hosts)), value_of(std::move(token)), make_curl_transport(),
                   [] { return random_hex(secret_size); },
                   [](duration time) { std::this_thread::sleep_for(time); }};
}

int bad_input(const error& failure)
{
    std::cerr << describe(failure) << '\n';
    return static_cast<int>(exit_code::bad_input);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(std::string{usage()});
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::vector<std::string> words(argv + 1, argv + argc);
    const auto options = read_options();
    if (is_error(options)) {
        return bad_input(error_of(options));
    }
    const auto access = open_session();
    if (is_error(access)) {
        return bad_input(error_of(access));
    }
    const auto outcome = run_command(words, value_of(options), value_of(access), read_file);
    std::cout << outcome.m_output;
    std::cerr << outcome.m_errors;
    return static_cast<int>(outcome.m_code);
}
