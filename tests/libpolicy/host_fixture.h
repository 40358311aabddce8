#pragma once

#include "libpolicy/reduce.h"

#include <string>
#include <string_view>
#include <vector>

namespace chivevane::test {

/// Returns a document with one organisation ("parish", key "parish-key") and routes to two
/// services.
std::string sample_document();

/// One host that a test drives event by event, with a simulated clock.
struct host_fixture {
    host_fixture();

    /// Handles `body` at the current time and returns the effects.
    effect_list feed(event_body body);

    /// Advances the clock by `step` and fires the timer.
    effect_list advance(duration step);

    /// Answers the first read of the roster, such that this host holds the whole rate limit of
    /// every organisation.
    void assign_whole_share();

    /// Puts `sample_document` in force as if it were read from the store.
    void load_sample_document();

    /// Puts a document of this name and text in force as if it were read from the store.
    void load_document(std::string_view name, std::string_view text);

    /// Announces an upstream on this host.
    void announce(std::string_view endpoint, std::string_view service);

    host_state m_host_state;
    effect_list m_start_effects;
    instant m_now{1h};
};

/// Returns the effects of one type.
template <typename Effect>
std::vector<Effect> effects_of_type(const effect_list& effects)
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
