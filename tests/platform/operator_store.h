#pragma once

#include "libbase/instant.h"
#include "libhttp/outgoing_request.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace chivevane::platform::test {

/// The platform's store with the operator's keys, in simulated time. It can go away and come back
/// from an older copy.
class operator_store {
public:
    /// What the store holds at one time.
    struct content {
        struct item {
            std::string m_value;
            std::uint64_t m_revision = 0;
        };
        struct change {
            std::string m_key;
            std::string m_value;
            std::uint64_t m_revision = 0;
            bool m_is_removal = false;
        };
        std::uint64_t m_revision = 10;
        std::map<std::string, item> m_items;
        std::vector<change> m_history;
    };

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

    /// Raises the revision like writes of keys that no host watches.
    void write_other_keys(std::uint64_t count) { m_content.m_revision += count; }

    const content& current() const { return m_content; }

    /// Cuts all watches and refuses connections until `come_back`.
    void go_away();
    void come_back() { m_is_away = false; }
    bool is_away() const { return m_is_away; }

    /// Comes back from `copy` in the next era.
    void come_back_from(content copy);

    /// Answers a call at `now`. A watch without changes waits.
    void run(const outgoing_request& request, transfer_handlers handlers, instant now);

    /// Answers the watches that have changes or have timed out.
    void answer_watches(instant now);

    std::uint64_t m_era = 1;
    bool m_names_era = true; ///< Whether answers have the header field with the era.

private:
    struct waiting_watch {
        std::string m_prefix;
        std::uint64_t m_after = 0;
        instant m_until;
        transfer_handlers m_handlers;
    };

    void answer(const transfer_handlers& handlers, std::uint16_t status,
                const std::string& body) const;
    std::string events(const waiting_watch& watch) const;
    std::string items(std::string_view prefix) const;

    content m_content;
    bool m_is_away = false;
    std::vector<waiting_watch> m_watches;
};

} // namespace chivevane::platform::test
