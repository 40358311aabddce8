#pragma once

#include "libadmin/timeline.h"
#include "libcontrol/run_command.h"
#include "libpolicy/host_state.h"

#include <deque>
#include <map>

namespace chivevane::test {

/// The fault that happens to a write.
enum class write_fault : std::uint8_t {
    none,
    connection_refused,    ///< No connection can be made.
    request_lost,          ///< The connection fails before the host receives the request.
    response_lost,         ///< The write takes effect, but the response is lost.
    store_outcome_unknown, ///< The host answers 504; the store has not executed it.
    concurrent_edit,       ///< Another operator's edit takes effect first.
    /// The write takes effect, the response is lost, and another operator's edit follows.
    response_lost_then_concurrent_edit,
};

/// Two hosts that answer with the real administration API, and a store whose writes are in force on
/// both at once.
struct fake_fleet {
    fake_fleet();

    /// Runs a command, which reads its files from `m_files`.
    control::command_result run(const std::vector<std::string>& words);

    /// Writes the document as another operator.
    void edit_as_other_operator(const std::string& text);

    const stored_document& stored() const;

    std::map<std::string, host_state> m_hosts; ///< The key is the administration address.
    std::map<std::string, std::string> m_files;
    std::deque<write_fault> m_faults; ///< Each write takes the first one, if there is any.
    control::command_options m_options;
    std::vector<std::string> m_addresses{"127.0.1.1:3", "127.0.1.2:3"};
    std::string m_token = "token-of-operators";
    std::map<std::string, timeline> m_timelines;
    duration m_slept{};
    int m_writes = 0; ///< The number of writes that took effect.

private:
    result<control::api_response> send(const std::string& host,
                                       const control::api_request& request);
    control::api_response submit(const document_submitted& submission);
    void put_in_force(const std::string& host, const stored_document& stored);

    int m_random_hex_count = 0;
};

/// Returns the text of revision 1, which is in force from the start.
std::string initial_document();

} // namespace chivevane::test
