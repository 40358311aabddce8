#include "libpolicy/limits/borrowing.h"

#include "libpolicy/limits/share_leases.h"
#include "libpolicy/membership/membership.h"

#include <algorithm>
#include <cmath>

namespace chivevane::limits {

namespace {

constexpr duration ticket_timeout = 50ms;   // Three tries; well under any caller's patience.
constexpr duration repeat_interval = 10ms;  // Several round trips between data centres 1 ms apart.
constexpr duration check_interval = 5ms;    // Half of `repeat_interval`.
constexpr duration report_interval = 20ms;  // The room of spent tokens is idle for this long.
constexpr duration asking_interval = 10ms;  // Between requests to a broker that has no token.
constexpr duration demand_window = 250ms;   // Follows demand that moves every second.
constexpr duration foreseen_demand = 60ms;  // Several round trips and a report.
constexpr duration silence_penalty = 500ms; // A broker that did not answer is asked last so long.
constexpr double idle_gaps = 5; // Mean gaps between requests without one: demand went elsewhere.
constexpr duration account_timeout = 5s;
constexpr std::uint32_t tries_per_broker = 3; // Losing all of them is rare at 1% loss.
constexpr std::uint32_t reports_per_loan = 2; // One lost alone would idle its room for 150 ms.
constexpr std::size_t uses_per_report = 40;   // About 26 bytes each in a datagram.

/// A broker with less than this has not taken over yet, or not any more.
constexpr std::uint32_t broker_units = total_units / 2;

void count_demand(borrower_account& account, instant now)
{
    const double elapsed = to_seconds(now - account.m_demand_at) / to_seconds(demand_window);
    account.m_demand = account.m_demand * std::exp(-elapsed) + 1 / to_seconds(demand_window);
    account.m_demand_at = now;
}

std::uint32_t foreseen_tokens(const borrower_account& account)
{
    return static_cast<std::uint32_t>(account.m_demand * to_seconds(foreseen_demand));
}

std::uint32_t stock_of(const borrowing_state& borrowing, const borrower_account& account,
                       instant now)
{
    std::uint32_t stock = 0;
    for (const auto id : account.m_open_loans) {
        const auto& loan = borrowing.m_loans.at(id);
        stock += loan.m_expires_at > now ? loan.m_granted - loan.m_spent : 0;
    }
    return stock;
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

/// Spends one token of the oldest loan that may still be spent.
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

bool spend_from_pool(limits_state& state, context& surroundings, std::string_view organisation,
                     const rate_limit& limit)
{
    auto& pool = usable_pool(state, surroundings, slot_of(organisation));
    if (pool.m_units == 0) {
        return false;
    }
    auto& bucket = touch_bucket(pool, organisation, limit, surroundings.m_now);
    if (bucket.m_tokens < 1) {
        return false;
    }
    spend(bucket, 1);
    return true;
}

bool is_broker(limits_state& state, context& surroundings, std::size_t slot)
{
    const auto brokers = brokers_of(state, slot);
    return !brokers.empty() && brokers.front() == surroundings.m_settings.m_self.m_name &&
           usable_pool(state, surroundings, slot).m_units >= broker_units;
}

refused refusal_of_broker(limits_state& state, context& surroundings, std::string_view organisation,
                          const rate_limit& limit)
{
    auto& pool = usable_pool(state, surroundings, slot_of(organisation));
    return {time_to_token(pool, touch_bucket(pool, organisation, limit, surroundings.m_now))};
}

void mark_busy(borrowing_state& borrowing, borrower_account& account, std::string_view organisation,
               instant now)
{
    if (!account.m_is_busy) {
        account.m_is_busy = true;
        borrowing.m_busy.emplace_back(organisation);
    }
    schedule(borrowing.m_next_check, now + check_interval);
}

void send_pending(pending_loan& pending, context& surroundings, const membership_state& members)
{
    ++pending.m_times_sent;
    pending.m_last_sent_at = surroundings.m_now;
    if (const auto* const peer = membership::find_member(members, pending.m_lender)) {
        emit(surroundings, send_datagram{peer->m_latest.m_address, pending.m_request});
    }
}

/// An answer that still comes is given back. One that comes later than the loan would last is not:
/// its lender has its room back by then.
void abandon_pending(borrowing_state& borrowing, borrower_account& account)
{
    const auto& pending = *account.m_pending;
    borrowing.m_abandoned.insert(pending.m_loan);
    borrowing.m_expiries.push_back({pending.m_first_sent_at + loan_lifetime, pending.m_loan});
    schedule(borrowing.m_next_check, borrowing.m_expiries.front().m_at);
    account.m_pending.reset();
}

/// Asks the broker at `candidate` of the ranking, or the next that is another host.
void ask(limits_state& state, context& surroundings, const membership_state& members,
         std::string_view organisation, borrower_account& account, std::size_t candidate)
{
    const auto brokers = brokers_of(state, slot_of(organisation));
    const auto& self = surroundings.m_settings.m_self.m_name;
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
    const auto stock = stock_of(state.m_borrowing, account, surroundings.m_now);
    const auto foreseen = foreseen_tokens(account);
    const auto wanted = foreseen > stock ? foreseen - stock : 0;
    const auto id = ++state.m_borrowing.m_last_loan;
    account.m_pending = pending_loan{id,
                                     candidate,
                                     brokers[candidate],
                                     {id, std::string{organisation}, needed, wanted,
                                      account.m_limit.m_rate, account.m_limit.m_burst},
                                     surroundings.m_now,
                                     surroundings.m_now,
                                     0};
    send_pending(*account.m_pending, surroundings, members);
    mark_busy(state.m_borrowing, account, organisation, surroundings.m_now);
}

void ask_if_needed(limits_state& state, context& surroundings, const membership_state& members,
                   std::string_view organisation, borrower_account& account)
{
    if (account.m_pending || surroundings.m_now < account.m_dry_until) {
        return;
    }
    const auto foreseen = foreseen_tokens(account);
    const auto stock = stock_of(state.m_borrowing, account, surroundings.m_now);
    const bool is_low = foreseen > 0 && stock <= foreseen / 2;
    if (!account.m_waiting.empty() || (is_low && surroundings.m_now >= account.m_foresee_after)) {
        ask(state, surroundings, members, organisation, account, 0);
    }
}

void settle_front(borrowing_state& borrowing, borrower_account& account, const verdict& outcome)
{
    const auto ticket = account.m_waiting.front().m_ticket;
    account.m_waiting.pop_front();
    borrowing.m_organisation_of.erase(ticket);
    borrowing.m_settled.push_back({ticket, outcome});
}

void serve_waiting(borrowing_state& borrowing, borrower_account& account, instant now)
{
    while (!account.m_waiting.empty() && spend_from_loans(borrowing, account, now)) {
        settle_front(borrowing, account, granted{});
    }
}

/// Ends the waiting of `count` requests for which there is no token.
void refuse_waiting(limits_state& state, context& surroundings, std::string_view organisation,
                    borrower_account& account, std::size_t count)
{
    for (; count > 0 && !account.m_waiting.empty(); --count) {
        const bool has_own = spend_from_pool(state, surroundings, organisation, account.m_limit);
        settle_front(state.m_borrowing, account,
                     has_own ? verdict{granted{}} : verdict{refused{account.m_retry_after}});
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

/// Goes to the next broker, or gives up.
void ask_next(limits_state& state, context& surroundings, const membership_state& members,
              std::string_view organisation, borrower_account& account)
{
    const auto next = account.m_pending->m_candidate + 1;
    ask(state, surroundings, members, organisation, account, next);
    if (!account.m_pending) {
        account.m_retry_after = 1s;
        account.m_dry_until = surroundings.m_now + asking_interval;
        refuse_waiting(state, surroundings, organisation, account, account.m_waiting.size());
    }
}

void repeat_request(limits_state& state, context& surroundings, const membership_state& members,
                    std::string_view organisation, borrower_account& account)
{
    auto& pending = *account.m_pending;
    if (surroundings.m_now - pending.m_last_sent_at < repeat_interval) {
        return;
    }
    if (pending.m_times_sent < tries_per_broker) {
        send_pending(pending, surroundings, members);
        return;
    }
    state.m_leases.m_silent_until[pending.m_lender] = surroundings.m_now + silence_penalty;
    ask_next(state, surroundings, members, organisation, account);
}

/// Gives loans back early once the demand they were for has gone elsewhere.
void return_idle_loans(borrowing_state& borrowing, borrower_account& account, instant now)
{
    const auto patience = from_seconds(idle_gaps / std::max(1.0, account.m_demand));
    while (!account.m_open_loans.empty() && now - account.m_demand_at > patience) {
        close_loan(borrowing, account, account.m_open_loans.front(), now);
    }
}

/// Repeats the request of one organisation and ends the waiting that took too long.
void check_account(limits_state& state, context& surroundings, const membership_state& members,
                   std::string_view organisation, borrower_account& account)
{
    if (account.m_pending) {
        repeat_request(state, surroundings, members, organisation, account);
    }
    while (!account.m_waiting.empty() &&
           account.m_waiting.front().m_deadline <= surroundings.m_now) {
        account.m_retry_after = 1s;
        refuse_waiting(state, surroundings, organisation, account, 1);
    }
    return_idle_loans(state.m_borrowing, account, surroundings.m_now);
    account.m_is_busy = account.m_pending.has_value() || !account.m_waiting.empty() ||
                        !account.m_open_loans.empty();
}

void expire_taken_loans(borrowing_state& borrowing, instant now)
{
    while (!borrowing.m_expiries.empty() && borrowing.m_expiries.front().m_at <= now) {
        const auto id = borrowing.m_expiries.front().m_loan;
        borrowing.m_expiries.pop_front();
        borrowing.m_abandoned.erase(id);
        const auto loan = borrowing.m_loans.find(id);
        if (loan != borrowing.m_loans.end()) {
            const auto organisation = loan->second.m_organisation;
            close_loan(borrowing, borrowing.m_accounts.find(organisation)->second, id, now);
        }
    }
}

loan_use use_of(std::uint64_t id, std::uint32_t spent, instant last_spent_at, loan_phase phase,
                instant now)
{
    return {id, spent, spent > 0 ? (now - last_spent_at).count() : 0, phase};
}

/// Everything that is to be reported, by lender.
std::map<std::string, std::vector<loan_use>> collect_uses(borrowing_state& borrowing, instant now)
{
    std::map<std::string, std::vector<loan_use>> uses;
    for (const auto id : borrowing.m_unreported) {
        if (const auto found = borrowing.m_loans.find(id); found != borrowing.m_loans.end()) {
            auto& loan = found->second;
            loan.m_reported = loan.m_spent;
            uses[loan.m_lender].push_back(
                use_of(id, loan.m_spent, loan.m_last_spent_at, loan_phase::open, now));
        }
    }
    for (auto& loan : borrowing.m_closed) {
        ++loan.m_times_reported;
        uses[loan.m_lender].push_back(
            use_of(loan.m_loan, loan.m_spent, loan.m_last_spent_at, loan_phase::closed, now));
    }
    borrowing.m_unreported.clear();
    std::erase_if(borrowing.m_closed,
                  [](const auto& loan) { return loan.m_times_reported >= reports_per_loan; });
    return uses;
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

verdict take_or_borrow(limits_state& state, context& surroundings, const membership_state& members,
                       std::string_view organisation, const rate_limit& limit, std::uint64_t ticket)
{
    if (spend_from_pool(state, surroundings, organisation, limit)) {
        return granted{};
    }
    if (is_broker(state, surroundings, slot_of(organisation))) {
        return refusal_of_broker(state, surroundings, organisation, limit);
    }
    const auto now = surroundings.m_now;
    auto& borrowing = state.m_borrowing;
    auto& account = account_of(borrowing, organisation, limit, now);
    count_demand(account, now);
    if (account.m_waiting.empty() && spend_from_loans(borrowing, account, now)) {
        ask_if_needed(state, surroundings, members, organisation, account);
        return granted{};
    }
    if (now < account.m_dry_until) {
        return refused{std::max(account.m_retry_after, account.m_dry_until - now)};
    }
    account.m_waiting.push_back({ticket, now + ticket_timeout});
    borrowing.m_organisation_of[ticket] = organisation;
    ask_if_needed(state, surroundings, members, organisation, account);
    if (!account.m_pending) {
        forget_ticket(state, ticket);
        return refused{1s};
    }
    return waiting{};
}

void take_loan(limits_state& state, context& surroundings, const membership_state& members,
               const host_identity& sender, const loan_response& response)
{
    const auto now = surroundings.m_now;
    auto& borrowing = state.m_borrowing;
    if (borrowing.m_abandoned.erase(response.m_loan) > 0) {
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
        ask_next(state, surroundings, members, found->first, account);
        return;
    }
    const auto pending = *account.m_pending;
    account.m_pending.reset();
    if (response.m_tokens > 0) {
        open_loan(borrowing, account, pending, response);
        mark_busy(borrowing, account, found->first, now);
    }
    if (response.m_tokens < pending.m_request.m_needed + pending.m_request.m_wanted) {
        account.m_foresee_after = now + asking_interval;
    }
    serve_waiting(borrowing, account, now);
    if (response.m_tokens < pending.m_request.m_needed) {
        account.m_retry_after = duration{response.m_retry_after_us};
        account.m_dry_until = now + std::min(asking_interval, account.m_retry_after);
        const auto missing = pending.m_request.m_needed - response.m_tokens;
        refuse_waiting(state, surroundings, found->first, account, missing);
    }
    ask_if_needed(state, surroundings, members, found->first, account);
}

void check_loans(limits_state& state, context& surroundings, const membership_state& members)
{
    auto& borrowing = state.m_borrowing;
    const auto now = surroundings.m_now;
    if (now < borrowing.m_next_check) {
        return;
    }
    borrowing.m_next_check = instant::max();
    expire_taken_loans(borrowing, now);
    const auto busy = std::move(borrowing.m_busy);
    borrowing.m_busy.clear();
    for (const auto& organisation : busy) {
        auto& account = borrowing.m_accounts.find(organisation)->second;
        check_account(state, surroundings, members, organisation, account);
        if (account.m_is_busy) {
            account.m_is_busy = false;
            mark_busy(borrowing, account, organisation, now);
        }
    }
    if (!borrowing.m_expiries.empty()) {
        schedule(borrowing.m_next_check,
                 std::max(now + check_interval, borrowing.m_expiries.front().m_at));
    }
}

void report_loans(limits_state& state, context& surroundings, const membership_state& members)
{
    auto& borrowing = state.m_borrowing;
    if (surroundings.m_now < borrowing.m_next_report) {
        return;
    }
    borrowing.m_next_report = instant::max();
    const auto all_uses = collect_uses(borrowing, surroundings.m_now);
    if (!borrowing.m_closed.empty()) {
        schedule(borrowing.m_next_report, surroundings.m_now + report_interval);
    }
    for (const auto& [lender, uses] : all_uses) {
        const auto* const peer = membership::find_member(members, lender);
        for (std::size_t i = 0; peer != nullptr && i < uses.size(); i += uses_per_report) {
            const auto end = std::min(uses.size(), i + uses_per_report);
            loan_report report;
            report.m_uses.assign(uses.begin() + static_cast<std::ptrdiff_t>(i),
                                 uses.begin() + static_cast<std::ptrdiff_t>(end));
            emit(surroundings, send_datagram{peer->m_latest.m_address, std::move(report)});
        }
    }
}

void forget_idle_accounts(limits_state& state, context& surroundings)
{
    std::erase_if(state.m_borrowing.m_accounts, [&](const auto& entry) {
        const auto& account = entry.second;
        return !account.m_is_busy && account.m_open_loans.empty() &&
               surroundings.m_now - account.m_demand_at > account_timeout;
    });
}

void forget_ticket(limits_state& state, std::uint64_t ticket)
{
    auto& borrowing = state.m_borrowing;
    const auto found = borrowing.m_organisation_of.find(ticket);
    if (found == borrowing.m_organisation_of.end()) {
        return;
    }
    auto& account = borrowing.m_accounts.find(found->second)->second;
    std::erase_if(account.m_waiting,
                  [&](const auto& waiting) { return waiting.m_ticket == ticket; });
    borrowing.m_organisation_of.erase(found);
}

} // namespace chivevane::limits
