#pragma once

#include "libhost/exchange_table.h"
#include "libhttp/memory_budget.h"
#include "libhttp/outgoing_request.h"
#include "libpolicy/effect.h"
#include "libpolicy/transfer_events.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>

namespace chivevane {

/// An event about a transfer that is passed to the reducer.
using transfer_update = std::variant<transfer_head, transfer_ended>;

/// Executes the effects on transfers. It sends requests with the bodies of exchanges and relays the
/// answers under back-pressure, so that an answer of any length takes a bounded amount of memory.
/// Bytes of an answer beyond `unreserved_bytes` draw on the memory budget. Without memory, a
/// buffered answer is passed on at once, and no more than `unreserved_bytes` wait to be written.
class transfer_runner {
public:
    /// Without `memory` there is no budget.
    transfer_runner(request_sender& client, exchange_table& exchanges,
                    std::function<void(transfer_update)> on_update,
                    std::shared_ptr<memory_budget> memory = nullptr);

    void start(const start_transfer& command);
    void cancel(const cancel_transfer& command);
    void relay(const relay_transfer& command);

    /// Returns whether the transfer was neither cancelled nor forgotten. Updates of a cancelled
    /// transfer may still wait in a queue, and are to be dropped.
    bool is_known(transfer_id transfer) const { return m_transfers.contains(transfer); }

    /// Removes a transfer whose end the reducer has handled.
    void forget(transfer_id transfer) { m_transfers.erase(transfer); }

private:
    /// The memory of an answer. The callbacks of its unwritten parts own it too, since these parts
    /// may outlive the transfer.
    struct answer_memory {
        memory_reservation m_reservation;
        std::size_t m_bytes = 0; ///< Buffered and unwritten bytes.
        std::weak_ptr<answer_reader> m_reader;
    };

    /// A transfer that was started, and neither cancelled nor forgotten.
    struct running_transfer {
        exchange_id m_relayed_to = 0; ///< The exchange; 0 until the transfer is relayed.
        /// Body bytes passed to the server, which has not written them to the system yet.
        std::size_t m_unwritten_bytes = 0;
        std::uint64_t m_body_bytes = 0; ///< Body bytes accepted from the client so far.
        bool m_is_paused = false;
        /// Bytes. The head is reported once the buffered body exceeds this or is complete; if it is
        /// 0, the head is reported at once.
        std::size_t m_buffer_limit = 0;
        std::optional<response_head> m_buffered_head; ///< The head until it is reported.
        std::string m_buffered_body;                  ///< Body read before the answer is relayed.
        std::shared_ptr<answer_memory> m_memory = std::make_shared<answer_memory>();
    };

    void on_head(transfer_id transfer, response_head head);
    void on_end(transfer_id transfer, transfer_end end, std::string detail);
    void report_head(transfer_id transfer, running_transfer& state);
    void write_part(transfer_id transfer, running_transfer& state, std::string part);

    static bool reserve(answer_memory& memory, std::size_t more_bytes);
    static void release(answer_memory& memory, std::size_t bytes);

    body_flow on_body(transfer_id transfer, std::string_view part);
    body_flow buffer_part(transfer_id transfer, running_transfer& state, std::string_view part);
    void on_written(transfer_id transfer, std::size_t size);

    request_sender& m_client;
    exchange_table& m_exchanges;
    std::function<void(transfer_update)> m_on_update;
    std::shared_ptr<memory_budget> m_memory;
    std::unordered_map<transfer_id, running_transfer> m_transfers;
};

} // namespace chivevane
