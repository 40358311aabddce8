#include "libpolicy/limits/borrowing.h"

#include "libpolicy/limits/share_leases.h"
#include "libpolicy/membership/membership.h"

#include <algorithm>
#include <cmath>

namespace chivevane::limits {

namespace {

/// How long a request may wait for a loan: three attempts, and far below any caller's timeout.
constexpr duration loan_wait_timeout = 50ms;

constexpr duration retry_interval = 10ms; // Several round trips between data centres 1 ms apart.
constexpr duration check_interval = 5ms;  // Half of `retry_interval`.

/// The capacity of spent tokens stays unused at the broker for up to this long.
constexpr duration report_interval = 20ms;

/// Shortest time between loan requests to a broker that has too few tokens.
constexpr duration exhausted_broker_interval = 10ms;

constexpr duration demand_window = 250ms; // Short enough to follow demand that moves every second.

/// Loans are requested for the demand expected in this time: several round trips and a report.
constexpr duration prefetch_horizon = 60ms;

/// A broker that did not answer is ranked last for this long.
constexpr duration silence_penalty = 500ms;

/// An organisation without a request for this many mean gaps between requests is idle, since its
/// demand has moved to other hosts.
constexpr double idle_timeout_gaps = 5;

constexpr duration account_timeout = 5s;
constexpr std::uint32_t attempts_per_broker = 3; // Losing all of them is rare at 1% packet loss.

/// With a single report, the loss of it would leave the loan's capacity unused for 150 ms.
constexpr std::uint32_t reports_per_loan = 2;

constexpr std::size_t usages_per_report = 40; // Each takes about 26 bytes of a datagram.

/// A host acts as the broker of a slot only with at least this many of its units. With fewer it has
/// not taken over yet, or another host is taking over.
constexpr std::uint32_t broker_units = total_units / 2;

void update_demand(borrower_account& account, instant now)
{
    const double elapsed = to_seconds(now - account.m_demand_at) / to_seconds(demand_window);
    account.m_demand = account.m_demand * std::exp(-elapsed) + 1 / to_seconds(demand_window);
    account.m_demand_at = now;
}

std::uint32_t expected_tokens(const borrower_account& account)
{
    return static_cast<std::uint32_t>(account.m_demand * to_seconds(prefetch_horizon));
}

std::uint32_t unspent_tokens(const borrowing_state& borrowing, const borrower_account& account,
                             instant now)
{
    std::uint32_t unspent = 0;
    for (const auto id : account.m_open_loans) {
        const auto& loan = borrowing.m_loans.at(id);
        unspent += loan.m_expires_at > now ? loan.m_granted - loan.m_spent : 0;
    }
    return unspent;
}

void schedule(instant& due, instant at)
{
    due = std::min(due, at);
}

void close_loan(borrowing_state& borrowing, borrower_account& account, std::uint64_t id,
                instant now)
{
    const auto found = borrowing.m_loans.find(id);
    const auto& loan = found->second;
    borrowing.m_closed.push_back({id, loan.m_lender, loan.m_spent, loan.m_last_spent_at});
    borrowing.m_loans.erase(found);
    std::erase(account.m_open_loans, id);
    schedule(borrowing.m_next_report, now + report_interval);
}

/// Spends one token of the oldest open loan that has one. Returns false if there is none.
bool spend_from_loans(borrowing_state& borrowing, borrower_account& account, instant now)
{
    for (const auto id : account.m_open_loans) {
        auto& loan = borrowing.m_loans.at(id);
        if (loan.m_expires_at <= now || loan.m_spent >= loan.m_granted) {
            continue;
        }
        if (loan.m_spent++ == loan.m_reported) {
            borrowing.m_unreported.push_back(id);
        }
        loan.m_last_spent_at = now;
        schedule(borrowing.m_next_report, now + report_interval);
        if (loan.m_spent == loan.m_granted) {
            close_loan(borrowing, account, id, now);
        }
        return true;
    }
    return false;
}

bool spend_from_pool(limits_state& state, reducer_context& context, std::string_view organisation,
                     const rate_limit& limit)
{
    auto& pool = usable_pool(state, context, slot_of(organisation));
    if (pool.m_units == 0) {
        return false;
    }
    auto& bucket = refresh_bucket(pool, organisation, limit, context.m_now);
    if (bucket.m_tokens < 1) {
        return false;
    }
    spend(bucket, 1);
    return true;
}

bool is_broker(limits_state& state, reducer_context& context, std::size_t slot)
{
    const auto brokers = brokers_of(state, slot);
    return !brokers.empty() && brokers.front() == context.m_settings.m_self.m_name &&
           usable_pool(state, context, slot).m_units >= broker_units;
}

refused broker_refusal(limits_state& state, reducer_context& context, std::string_view organisation,
                       const rate_limit& limit)
{
    auto& pool = usable_pool(state, context, slot_of(organisation));
    return {time_to_token(pool, refresh_bucket(pool, organisation, limit, context.m_now))};
}

void mark_active(borrowing_state& borrowing, borrower_account& account,
                 std::string_view organisation, instant now)
{
    if (!account.m_is_active) {
        account.m_is_active = true;
        borrowing.m_active_organisations.emplace_back(organisation);
    }
    schedule(borrowing.m_next_check, now + check_interval);
}

void send_pending(pending_loan& pending, reducer_context& context, const membership_state& members)
{
    ++pending.m_times_sent;
    pending.m_last_sent_at = context.m_now;
    if (const auto* const peer = membership::find_member(members, pending.m_lender)) {
        emit(context, send_datagram{peer->m_record.m_address, pending.m_request});
    }
}

/// Stops waiting for the pending loan. If the loan is granted late, it is returned unspent, unless
/// it would have expired by then: the lender has released its capacity in that case.
void abandon_pending(borrowing_state& borrowing, borrower_account& account)
{
    const auto& pending = *account.m_pending;
    borrowing.m_abandoned_loans.insert(pending.m_loan);
    borrowing.m_expiries.push_back({pending.m_first_sent_at + loan_lifetime, pending.m_loan});
    schedule(borrowing.m_next_check, borrowing.m_expiries.front().m_at);
    account.m_pending.reset();
}

/// Requests a loan from the broker at index `candidate` of the ranking, skipping this host itself.
/// Any loan that is pending is abandoned. No loan is pending afterwards if the ranking has no more
/// hosts.
void request_loan(limits_state& state, reducer_context& context, const membership_state& members,
                  std::string_view organisation, borrower_account& account, std::size_t candidate)
{
    const auto brokers = brokers_of(state, slot_of(organisation));
    const auto& self = context.m_settings.m_self.m_name;
    while (candidate < brokers.size() && brokers[candidate] == self) {
        ++candidate;
    }
    if (account.m_pending) {
        abandon_pending(state.m_borrowing, account);
    }
    if (candidate >= brokers.size()) {
        return;
    }
    const auto needed = static_cast<std::uint32_t>(account.m_waiting.size());
    const auto unspent = unspent_tokens(state.m_borrowing, account, context.m_now);
    const auto expected = expected_tokens(account);
    const auto prefetch = expected > unspent ? expected - unspent : 0;
    const auto id = ++state.m_borrowing.m_last_loan;
    account.m_pending = pending_loan{id,
                                     candidate,
                                     brokers[candidate],
                                     {id, std::string{organisation}, needed, prefetch,
                                      account.m_limit.m_rate, account.m_limit.m_burst},
                                     context.m_now,
                                     context.m_now,
                                     0};
    send_pending(*account.m_pending, context, members);
    mark_active(state.m_borrowing, account, organisation, context.m_now);
}

void request_loan_if_needed(limits_state& state, reducer_context& context,
                            const membership_state& members, std::string_view organisation,
                            borrower_account& account)
{
    if (account.m_pending || context.m_now < account.m_exhausted_until) {
        return;
    }
    const auto expected = expected_tokens(account);
    const auto unspent = unspent_tokens(state.m_borrowing, account, context.m_now);
    const bool is_low = expected > 0 && unspent <= expected / 2;
    if (!account.m_waiting.empty() || (is_low && context.m_now >= account.m_prefetch_after)) {
        request_loan(state, context, members, organisation, account, 0);
    }
}

void decide_first_waiting(borrowing_state& borrowing, borrower_account& account,
                          const decision& outcome)
{
    const auto request_id = account.m_waiting.front().m_request_id;
    account.m_waiting.pop_front();
    borrowing.m_waiting_organisations.erase(request_id);
    borrowing.m_deferred_decisions.push_back({request_id, outcome});
}

void serve_waiting(borrowing_state& borrowing, borrower_account& account, instant now)
{
    while (!account.m_waiting.empty() && spend_from_loans(borrowing, account, now)) {
        decide_first_waiting(borrowing, account, granted{});
    }
}

/// Refuses the first `count` waiting requests, except those for which the own pool has a token now.
void refuse_waiting(limits_state& state, reducer_context& context, std::string_view organisation,
                    borrower_account& account, std::size_t count)
{
    for (; count > 0 && !account.m_waiting.empty(); --count) {
        const bool has_own_token = spend_from_pool(state, context, organisation, account.m_limit);
        decide_first_waiting(state.m_borrowing, account,
                             has_own_token ? decision{granted{}}
                                           : decision{refused{account.m_retry_after}});
    }
}

void open_loan(borrowing_state& borrowing, borrower_account& account, const pending_loan& pending,
               const loan_response& response)
{
    const auto expires_at = pending.m_first_sent_at + loan_lifetime;
    borrowing.m_loans[pending.m_loan] = {
        pending.m_lender, pending.m_request.m_organisation, response.m_tokens, 0, 0, {},
        expires_at};
    account.m_open_loans.push_back(pending.m_loan);
    borrowing.m_expiries.push_back({expires_at, pending.m_loan});
    schedule(borrowing.m_next_check, expires_at);
}

/// Requests the loan from the next broker; refuses all waiting requests if there is none.
void request_loan_from_next(limits_state& state, reducer_context& context,
                            const membership_state& members, std::string_view organisation,
                            borrower_account& account)
{
    const auto next = account.m_pending->m_candidate + 1;
    request_loan(state, context, members, organisation, account, next);
    if (!account.m_pending) {
        account.m_retry_after = 1s;
        account.m_exhausted_until = context.m_now + exhausted_broker_interval;
        refuse_waiting(state, context, organisation, account, account.m_waiting.size());
    }
}

void retry_loan_request(limits_state& state, reducer_context& context,
                        const membership_state& members, std::string_view organisation,
                        borrower_account& account)
{
    auto& pending = *account.m_pending;
    if (context.m_now - pending.m_last_sent_at < retry_interval) {
        return;
    }
    if (pending.m_times_sent < attempts_per_broker) {
        send_pending(pending, context, members);
        return;
    }
    state.m_leases.m_silent_until[pending.m_lender] = context.m_now + silence_penalty;
    request_loan_from_next(state, context, members, organisation, account);
}

/// Returns loans before they expire if the demand that they were requested for has ended.
void return_idle_loans(borrowing_state& borrowing, borrower_account& account, instant now)
{
    const auto idle_timeout = from_seconds(idle_timeout_gaps / std::max(1.0, account.m_demand));
    while (!account.m_open_loans.empty() && now - account.m_demand_at > idle_timeout) {
        close_loan(borrowing, account, account.m_open_loans.front(), now);
    }
}

/// Checks one organisation: retries its loan request, refuses requests that have waited for too
/// long, and returns idle loans.
void check_account(limits_state& state, reducer_context& context, const membership_state& members,
                   std::string_view organisation, borrower_account& account)
{
    if (account.m_pending) {
        retry_loan_request(state, context, members, organisation, account);
    }
    while (!account.m_waiting.empty() && account.m_waiting.front().m_deadline <= context.m_now) {
        account.m_retry_after = 1s;
        refuse_waiting(state, context, organisation, account, 1);
    }
    return_idle_loans(state.m_borrowing, account, context.m_now);
    account.m_is_active = account.m_pending.has_value() || !account.m_waiting.empty() ||
                          !account.m_open_loans.empty();
}

void expire_received_loans(borrowing_state& borrowing, instant now)
{
    while (!borrowing.m_expiries.empty() && borrowing.m_expiries.front().m_at <= now) {
        const auto id = borrowing.m_expiries.front().m_loan;
        borrowing.m_expiries.pop_front();
        borrowing.m_abandoned_loans.erase(id);
        const auto loan = borrowing.m_loans.find(id);
        if (loan != borrowing.m_loans.end()) {
            const auto organisation = loan->second.m_organisation;
            close_loan(borrowing, borrowing.m_accounts.find(organisation)->second, id, now);
        }
    }
}

loan_usage usage_of(std::uint64_t id, std::uint32_t spent, instant last_spent_at, loan_phase phase,
                    instant now)
{
    return {id, spent, spent > 0 ? (now - last_spent_at).count() : 0, phase};
}

/// All loan usage that is to be reported now, by name of the lender.
std::map<std::string, std::vector<loan_usage>> collect_usages(borrowing_state& borrowing,
                                                              instant now)
{
    std::map<std::string, std::vector<loan_usage>> usages;
    for (const auto id : borrowing.m_unreported) {
        if (const auto found = borrowing.m_loans.find(id); found != borrowing.m_loans.end()) {
            auto& loan = found->second;
            loan.m_reported = loan.m_spent;
            usages[loan.m_lender].push_back(
                usage_of(id, loan.m_spent, loan.m_last_spent_at, loan_phase::open, now));
        }
    }
    for (auto& loan : borrowing.m_closed) {
        ++loan.m_times_reported;
        usages[loan.m_lender].push_back(
            usage_of(loan.m_loan, loan.m_spent, loan.m_last_spent_at, loan_phase::closed, now));
    }
    borrowing.m_unreported.clear();
    std::erase_if(borrowing.m_closed,
                  [](const auto& loan) { return loan.m_times_reported >= reports_per_loan; });
    return usages;
}

borrower_account& account_of(borrowing_state& borrowing, std::string_view organisation,
                             const rate_limit& limit, instant now)
{
    auto found = borrowing.m_accounts.find(organisation);
    if (found == borrowing.m_accounts.end()) {
        found = borrowing.m_accounts.emplace(organisation, borrower_account{}).first;
        found->second.m_demand_at = now;
    }
    found->second.m_limit = limit;
    return found->second;
}

} // namespace

decision acquire_token(limits_state& state, reducer_context& context,
                       const membership_state& members, std::string_view organisation,
                       const rate_limit& limit, std::uint64_t request_id)
{
    if (spend_from_pool(state, context, organisation, limit)) {
        return granted{};
    }
    if (is_broker(state, context, slot_of(organisation))) {
        return broker_refusal(state, context, organisation, limit);
    }
    const auto now = context.m_now;
    auto& borrowing = state.m_borrowing;
    auto& account = account_of(borrowing, organisation, limit, now);
    update_demand(account, now);
    if (account.m_waiting.empty() && spend_from_loans(borrowing, account, now)) {
        request_loan_if_needed(state, context, members, organisation, account);
        return granted{};
    }
    if (now < account.m_exhausted_until) {
        return refused{std::max(account.m_retry_after, account.m_exhausted_until - now)};
    }
    account.m_waiting.push_back({request_id, now + loan_wait_timeout});
    borrowing.m_waiting_organisations[request_id] = organisation;
    request_loan_if_needed(state, context, members, organisation, account);
    if (!account.m_pending) {
        stop_waiting_for_loan(state, request_id);
        return refused{1s};
    }
    return waiting{};
}

void apply_loan_response(limits_state& state, reducer_context& context,
                         const membership_state& members, const host_identity& sender,
                         const loan_response& response)
{
    const auto now = context.m_now;
    auto& borrowing = state.m_borrowing;
    if (borrowing.m_abandoned_loans.erase(response.m_loan) > 0) {
        borrowing.m_closed.push_back({response.m_loan, sender.m_name, 0, now});
        schedule(borrowing.m_next_report, now + report_interval);
        return;
    }
    const auto found = borrowing.m_accounts.find(response.m_organisation);
    if (found == borrowing.m_accounts.end() || !found->second.m_pending ||
        found->second.m_pending->m_loan != response.m_loan) {
        return;
    }
    auto& account = found->second;
    if (response.m_tokens == 0 && response.m_units < broker_units) {
        request_loan_from_next(state, context, members, found->first, account);
        return;
    }
    const auto pending = *account.m_pending;
    account.m_pending.reset();
    if (response.m_tokens > 0) {
        open_loan(borrowing, account, pending, response);
        mark_active(borrowing, account, found->first, now);
    }
    if (response.m_tokens < pending.m_request.m_needed + pending.m_request.m_prefetch) {
        account.m_prefetch_after = now + exhausted_broker_interval;
    }
    serve_waiting(borrowing, account, now);
    if (response.m_tokens < pending.m_request.m_needed) {
        account.m_retry_after = duration{response.m_retry_after_us};
        account.m_exhausted_until =
            now + std::min(exhausted_broker_interval, account.m_retry_after);
        const auto missing = pending.m_request.m_needed - response.m_tokens;
        refuse_waiting(state, context, found->first, account, missing);
    }
    request_loan_if_needed(state, context, members, found->first, account);
}

void check_loans(limits_state& state, reducer_context& context, const membership_state& members)
{
    auto& borrowing = state.m_borrowing;
    const auto now = context.m_now;
    if (now < borrowing.m_next_check) {
        return;
    }
    borrowing.m_next_check = instant::max();
    expire_received_loans(borrowing, now);
    const auto busy = std::move(borrowing.m_active_organisations);
    borrowing.m_active_organisations.clear();
    for (const auto& organisation : busy) {
        auto& account = borrowing.m_accounts.find(organisation)->second;
        check_account(state, context, members, organisation, account);
        if (account.m_is_active) {
            account.m_is_active = false;
            mark_active(borrowing, account, organisation, now);
        }
    }
    if (!borrowing.m_expiries.empty()) {
        schedule(borrowing.m_next_check,
                 std::max(now + check_interval, borrowing.m_expiries.front().m_at));
    }
}

void report_loans(limits_state& state, reducer_context& context, const membership_state& members)
{
    auto& borrowing = state.m_borrowing;
    if (context.m_now < borrowing.m_next_report) {
        return;
    }
    borrowing.m_next_report = instant::max();
    const auto all_usages = collect_usages(borrowing, context.m_now);
    if (!borrowing.m_closed.empty()) {
        schedule(borrowing.m_next_report, context.m_now + report_interval);
    }
    for (const auto& [lender, usages] : all_usages) {
        const auto* const peer = membership::find_member(members, lender);
        for (std::size_t i = 0; peer != nullptr && i < usages.size(); i += usages_per_report) {
            const auto end = std::min(usages.size(), i + usages_per_report);
            loan_report report;
            report.m_usages.assign(usages.begin() + static_cast<std::ptrdiff_t>(i),
                                   usages.begin() + static_cast<std::ptrdiff_t>(end));
            emit(context, send_datagram{peer->m_record.m_address, std::move(report)});
        }
    }
}

void evict_idle_accounts(limits_state& state, reducer_context& context)
{
    std::erase_if(state.m_borrowing.m_accounts, [&](const auto& entry) {
        const auto& account = entry.second;
        return !account.m_is_active && account.m_open_loans.empty() &&
               context.m_now - account.m_demand_at > account_timeout;
    });
}

void stop_waiting_for_loan(limits_state& state, std::uint64_t request_id)
{
    auto& borrowing = state.m_borrowing;
    const auto found = borrowing.m_waiting_organisations.find(request_id);
    if (found == borrowing.m_waiting_organisations.end()) {
        return;
    }
    auto& account = borrowing.m_accounts.find(found->second)->second;
    std::erase_if(account.m_waiting,
                  [&](const auto& waiting) { return waiting.m_request_id == request_id; });
    borrowing.m_waiting_organisations.erase(found);
}

} // namespace chivevane::limits
