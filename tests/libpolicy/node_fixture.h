#pragma once

#include "libpolicy/reduce.h"

#include <string>
#include <string_view>
#include <vector>

namespace chivevane::test {

/// A document with one organisation ("parish", key "parish-key") and routes to two services.
std::string sample_document();

/// One host driven event by event, with a clock that moves only when told.
struct node_fixture {
    node_fixture();

    /// Handles `body` at the current time and returns the effects.
    effect_list feed(event_body body);

    /// Moves the clock and lets the timer fire.
    effect_list advance(duration step);

    /// Answers the first read of the roster: this host holds every organisation's whole share.
    void give_whole_share();

    /// Puts `sample_document` in force, as read from the store.
    void load_sample_document();

    /// Puts a document of this name and text in force, as read from the store.
    void load_document(std::string_view name, std::string_view text);

    /// Announces an upstream on this host.
    void announce(std::string_view endpoint, std::string_view service);

    node_state m_node;
    effect_list m_start_effects;
    instant m_now{1h};
};

/// The effects of one kind.
template <typename Effect>
std::vector<Effect> only(const effect_list& effects)
{
    std::vector<Effect> found;
    for (const auto& item : effects) {
        if (const auto* wanted = std::get_if<Effect>(&item)) {
            found.push_back(*wanted);
        }
    }
    return found;
}

} // namespace chivevane::test
