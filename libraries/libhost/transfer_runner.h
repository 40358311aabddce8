#pragma once

#include "libhost/exchange_table.h"
#include "libhttp/outgoing_request.h"
#include "libpolicy/effect.h"
#include "libpolicy/transfer_events.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>

namespace chivevane {

/// News of a transfer for the reducer.
using transfer_news = std::variant<transfer_head, transfer_ended>;

/// Carries out the effects on transfers: sends requests with the bodies of exchanges and writes
/// their answers on under back-pressure, so that the memory for an answer is bounded whatever its
/// length.
class transfer_runner {
public:
    transfer_runner(request_sender& client, exchange_table& exchanges,
                    std::function<void(transfer_news)> on_news);

    void start(const start_transfer& order);
    void cancel(const cancel_transfer& order);
    void relay(const relay_transfer& order);

    /// Whether news of this transfer is still wanted. News of a cancelled one may wait in a queue.
    bool is_wanted(transfer_id transfer) const { return m_transfers.contains(transfer); }

    /// Forgets a transfer whose end was handled.
    void forget(transfer_id transfer) { m_transfers.erase(transfer); }

private:
    /// One transfer that the reducer knows.
    struct running_transfer {
        exchange_id m_relayed_to = 0;      ///< 0 until it is relayed.
        std::size_t m_unwritten_bytes = 0; ///< Handed to the server, not yet to the system.
        std::uint64_t m_body_bytes = 0;
        bool m_is_paused = false;
        std::size_t m_held_limit = 0; ///< Bytes of the body to be read before the head is reported.
        std::optional<response_head> m_held_head; ///< Not reported yet.
        std::string m_held_body;                  ///< Read before the answer was relayed.
    };

    void take_head(transfer_id transfer, response_head head);
    void take_end(transfer_id transfer, transfer_end end, std::string detail);
    void report_head(transfer_id transfer, running_transfer& item);
    void write_part(transfer_id transfer, running_transfer& item, std::string part);

    flow take_body(transfer_id transfer, std::string_view part);
    void on_written(transfer_id transfer, std::size_t size);

    request_sender& m_client;
    exchange_table& m_exchanges;
    std::function<void(transfer_news)> m_on_news;
    std::unordered_map<transfer_id, running_transfer> m_transfers;
};

} // namespace chivevane
