#pragma once

#include "libpolicy/configuration/configuration_state.h"
#include "libpolicy/membership/membership_state.h"
#include "libpolicy/reducer_context.h"
#include "libwire/membership_messages.h"

/// Knowledge of which hosts of this data centre can read the store. The hosts that can are
/// preferred as watchers, so that a store that serves only some hosts hides no change from the
/// others.
namespace chivevane::configuration {

/// Records that a call of this host succeeded.
void record_store_success(configuration_state& state, reducer_context& context);

/// Records that a call of this host failed, after `m_store_failures` was counted up.
void record_store_failure(configuration_state& state, reducer_context& context);

/// Returns how long a watcher lets the store wait for a change. The answer that the store then
/// gives without a change shows that it still answers this host.
duration watch_duration_of_watcher(const host_settings& settings);

/// Returns the time after which the store's answer to a watch that a watcher begins now is overdue.
instant answer_overdue_at(const host_settings& settings, instant now);

/// Counts this host as without contact once the answer to its watch is overdue, so that another
/// host takes its place before the call fails.
void check_overdue_answer(configuration_state& state, reducer_context& context);

/// Reports this host's contact with the store to its data centre if a report is due.
void send_contact_report(configuration_state& state, reducer_context& context,
                         const membership_state& members);

/// Records what a peer reports of its contact with the store.
void on_store_contact_report(configuration_state& state, reducer_context& context,
                             const host_identity& sender, const store_contact_report& report);

/// Whether the host can read the store, as far as is known here. `host` may be this host.
bool has_store_contact(const configuration_state& state, const membership_state& members,
                       const host_identity& host);

} // namespace chivevane::configuration
