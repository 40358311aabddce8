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

/// Answers an exchange with a complete response and ends it.
struct respond {
    exchange_id m_exchange = 0;
    response_head m_head;
    std::string m_body;

    bool operator==(const respond&) const = default;
};

/// The kind of server that a transfer goes to.
enum class transfer_peer : std::uint8_t {
    host,            ///< The gate of a host.
    upstream,        ///< An upstream that runs an attempt.
    upstream_health, ///< An upstream whose health is checked.
};

/// Sends a request to `m_ip`:`m_port`, with the request body of an exchange if `m_exchange` is set.
struct start_transfer {
    transfer_id m_transfer = 0;
    exchange_id m_exchange = 0; ///< The exchange whose request body is sent; 0 sends no body.
    std::string m_ip;
    std::uint16_t m_port = 0;
    request_head m_head;
    connection_reuse m_connection_reuse = connection_reuse::allowed;
    duration m_connect_timeout{};
    duration m_stall_timeout{}; ///< Longest pause between two parts of the answer's body; after it
                                ///< the transfer ends as stalled. Zero means no limit.
    transfer_peer m_peer = transfer_peer::host;

    /// Bytes of the answer's body that are buffered before its head is reported. If the connection
    /// breaks while they are read, no head is reported.
    std::size_t m_body_buffer_limit = 0;

    bool operator==(const start_transfer&) const = default;
};

/// Ends a transfer and closes its connection. No `transfer_ended` follows.
struct cancel_transfer {
    transfer_id m_transfer = 0;

    bool operator==(const cancel_transfer&) const = default;
};

/// Relays the body of a transfer's answer to an exchange as it arrives, with back-pressure.
struct relay_transfer {
    transfer_id m_transfer = 0;
    exchange_id m_exchange = 0;
    std::optional<response_head> m_head; ///< Head to write before the body; empty if the answer is
                                         ///< already partly written, as after a resumption.

    bool operator==(const relay_transfer&) const = default;
};

/// Ends an exchange whose answer was relayed completely.
struct finish_exchange {
    exchange_id m_exchange = 0;

    bool operator==(const finish_exchange&) const = default;
};

/// Closes the connection of an exchange, so that its client recognises the answer as incomplete.
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

/// The purpose of a store operation. It selects the module that handles the response.
enum class store_purpose : std::uint8_t {
    registration,   ///< Handled by libpolicy/membership.
    document_read,  ///< Handled by libpolicy/configuration.
    document_write, ///< Handled by libpolicy/configuration.
    document_watch, ///< Handled by libpolicy/configuration.
    roster,         ///< Handled by libpolicy/limits.
};

/// Runs an operation on the key-value store of the platform.
struct call_store {
    std::uint64_t m_operation_id = 0;
    store_purpose m_purpose = store_purpose::registration;
    store_operation m_operation;

    bool operator==(const call_store&) const = default;
};

/// Requests a host's copy of a document.
struct fetch_document {
    host_address m_from;
    std::string m_name;

    bool operator==(const fetch_document&) const = default;
};

/// One key=value pair of a timeline entry or log line.
struct event_field {
    std::string m_key;
    std::string m_value;

    bool operator==(const event_field&) const = default;
};

/// Whether an event is only kept in the timeline or also written to the log.
enum class record_target : std::uint8_t { timeline, timeline_and_log };

/// Adds an entry to the timeline of this host.
struct record_event {
    std::string m_name;
    std::vector<event_field> m_fields;
    record_target m_target = record_target::timeline;

    bool operator==(const record_event&) const = default;
};

/// Ends the process. It follows a `leave_requested` once all work is done, or at the shutdown
/// limit.
struct stop_process {
    bool operator==(const stop_process&) const = default;
};

using effect = std::variant<respond, start_transfer, cancel_transfer, relay_transfer,
                            finish_exchange, abort_exchange, send_datagram, call_store,
                            fetch_document, record_event, stop_process>;

using effect_list = std::vector<effect>;

} // namespace chivevane
