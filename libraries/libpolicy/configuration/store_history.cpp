#include "libpolicy/configuration/store_history.h"

#include <string>

namespace chivevane::configuration {

namespace {

void record(const configuration_state& state, reducer_context& context, std::string name,
            const store_position& position)
{
    const auto& earlier = state.m_store_position;
    emit(context, record_event{std::move(name),
                               {{"revision", std::to_string(position.m_revision)},
                                {"earlier_revision", std::to_string(earlier.m_revision)},
                                {"era", std::to_string(position.m_era)},
                                {"earlier_era", std::to_string(earlier.m_era)},
                                {"failures", std::to_string(state.m_store_failures)}},
                               record_target::timeline_and_log});
}

} // namespace

void record_position(configuration_state& state, reducer_context& context,
                     const store_entries& answer)
{
    const auto& position = answer.m_position;
    if (answer.m_revision == 0) {
        record(state, context, "store-history-lost", position);
        return;
    }
    if (position.m_revision == 0) {
        return;
    }
    const auto& earlier = state.m_store_position;
    const bool is_new_era = earlier.m_revision != 0 && position.m_era > earlier.m_era;
    if (is_new_era || position.m_revision < earlier.m_revision) {
        ++state.m_store_reversions;
        record(state, context, "store-went-back", position);
    }
    else if (state.m_store_failures > 0) {
        record(state, context, "store-read-again", position);
    }
    state.m_store_position = position;
}

} // namespace chivevane::configuration
