#pragma once

#include "libadmin/timeline.h"
#include "libcontrol/run_command.h"
#include "libpolicy/host_state.h"

#include <deque>
#include <map>

namespace chivevane::test {

/// What becomes of the next write.
enum class write_fault : std::uint8_t {
    none,
    refused,                ///< No connection.
    request_lost,           ///< The connection breaks before the host has the request.
    answer_lost,            ///< The write takes effect, the answer does not arrive.
    store_unknown,          ///< The host does not know whether the store took it; it did not.
    race_lost,              ///< Another operator's edit comes first.
    answer_lost_then_raced, ///< It takes effect unseen, then another operator edits.
};

/// Two hosts that answer with the real administration API, and a store that both see at once.
struct fake_fleet {
    fake_fleet();

    /// Runs a command; `m_files` are the operator's files.
    control::command_result run(const std::vector<std::string>& words);

    /// Writes a document as another operator.
    void edit_elsewhere(const std::string& text);

    const stored_document& stored() const;

    std::map<std::string, host_state> m_hosts; ///< By administration address.
    std::map<std::string, std::string> m_files;
    std::deque<write_fault> m_faults; ///< Of the next writes; none when empty.
    control::command_options m_options;
    std::vector<std::string> m_tried{"127.0.1.1:3", "127.0.1.2:3"};
    std::string m_token = "token-of-operators";
    std::map<std::string, timeline> m_timelines;
    duration m_slept{};
    int m_writes = 0; ///< That took effect.

private:
    result<control::api_response> send(const std::string& host,
                                       const control::api_request& request);
    control::api_response submit(const document_submitted& submission);
    void put_in_force(const std::string& host, const stored_document& stored);

    int m_secrets = 0;
};

/// The document that the fleet starts with, revision 1.
std::string first_document();

} // namespace chivevane::test
