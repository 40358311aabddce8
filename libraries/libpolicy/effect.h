#pragma once

#include "libbase/instant.h"
#include "libpolicy/identifiers.h"
#include "libwire/host_address.h"
#include "libwire/message.h"
#include "libwire/request_head.h"
#include "libwire/response_head.h"
#include "libwire/store_operation.h"
#include "libwire/transfer.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace chivevane {

/// Answers an exchange with a short body and ends it.
struct respond {
    exchange_id m_exchange = 0;
    response_head m_head;
    std::string m_body;

    bool operator==(const respond&) const = default;
};

/// Who is at the other end of a transfer.
enum class transfer_peer : std::uint8_t {
    host,
    upstream,        ///< The request of an attempt.
    upstream_health, ///< A health check.
};

/// Sends a request to `m_ip`:`m_port`, with the body of an exchange if one is named.
struct start_transfer {
    transfer_id m_transfer = 0;
    exchange_id m_exchange = 0; ///< Whose body is sent; 0 means none.
    std::string m_ip;
    std::uint16_t m_port = 0;
    request_head m_head;
    connection_choice m_connection = connection_choice::reuse;
    duration m_connect_timeout{};
    duration m_stall_timeout{}; ///< Longest pause between body bytes that the reader is ready for.
    transfer_peer m_peer = transfer_peer::host;
    /// Bytes of the answer's body that are read before its head is reported: an answer that breaks
    /// off within them is reported as none at all.
    std::size_t m_held_body = 0;

    bool operator==(const start_transfer&) const = default;
};

/// Ends a transfer and closes its connection. No event follows.
struct cancel_transfer {
    transfer_id m_transfer = 0;

    bool operator==(const cancel_transfer&) const = default;
};

/// Writes the body of a transfer to its exchange as it comes, under back-pressure.
struct relay_transfer {
    transfer_id m_transfer = 0;
    exchange_id m_exchange = 0;
    std::optional<response_head> m_head; ///< Written first; empty when an answer goes on.

    bool operator==(const relay_transfer&) const = default;
};

/// Ends an exchange whose answer was relayed whole.
struct finish_exchange {
    exchange_id m_exchange = 0;

    bool operator==(const finish_exchange&) const = default;
};

/// Closes the connection of an exchange, so that nobody takes what was written for a whole answer.
struct abort_exchange {
    exchange_id m_exchange = 0;

    bool operator==(const abort_exchange&) const = default;
};

/// Sends a message to the control port of a host.
struct send_datagram {
    host_address m_to;
    message m_message;

    bool operator==(const send_datagram&) const = default;
};

/// What an operation on the store is for; it routes the answer to the module that asked.
enum class store_purpose : std::uint8_t {
    registration,   ///< libpolicy/membership
    document_read,  ///< libpolicy/configuration
    document_write, ///< libpolicy/configuration
    document_watch, ///< libpolicy/configuration
    roster,         ///< libpolicy/limits
};

/// Runs an operation on the platform's store.
struct call_store {
    std::uint64_t m_operation_id = 0;
    store_purpose m_purpose = store_purpose::registration;
    store_operation m_operation;

    bool operator==(const call_store&) const = default;
};

/// Asks a host for its copy of a document.
struct fetch_document {
    host_address m_from;
    std::string m_name;

    bool operator==(const fetch_document&) const = default;
};

/// One key=value pair of a time line entry or log line.
struct event_field {
    std::string m_key;
    std::string m_value;

    bool operator==(const event_field&) const = default;
};

/// Whether an entry is only kept in the time line or also written to the log.
enum class record_target : std::uint8_t { timeline, timeline_and_log };

/// Adds an entry to the time line of this host.
struct record_event {
    std::string m_name;
    std::vector<event_field> m_fields;
    record_target m_target = record_target::timeline;

    bool operator==(const record_event&) const = default;
};

/// Everything is finished after a `leave_requested`; the process may end.
struct stop_process {
    bool operator==(const stop_process&) const = default;
};

using effect = std::variant<respond, start_transfer, cancel_transfer, relay_transfer,
                            finish_exchange, abort_exchange, send_datagram, call_store,
                            fetch_document, record_event, stop_process>;

using effect_list = std::vector<effect>;

} // namespace chivevane
