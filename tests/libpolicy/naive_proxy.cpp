#include "libpolicy/naive_proxy.h"

#include "libbase/result.h"
#include "libpolicy/forwarding.h"
#include "libpolicy/refusal.h"

namespace chivevane::test {

namespace {

constexpr duration answer_timeout = 1s;
constexpr int max_attempts = 3;

struct naive_transfer {
    exchange_id m_exchange = 0;
    request_head m_head;
    instant m_deadline;
    int m_attempt = 0;
    bool m_is_relayed = false;
};

struct naive_proxy {
    host_settings m_settings;
    random_engine m_random;
    std::map<transfer_id, naive_transfer> m_transfers;
    transfer_id m_last_transfer = 0;

    void send(naive_transfer entry, instant now, effect_list& effects)
    {
        if (++entry.m_attempt > max_attempts) {
            effects.push_back(make_refusal(entry.m_exchange, {refusal_kind::upstream_failed}));
            return;
        }
        const auto& seeds = m_settings.m_seeds;
        const auto& ip = seeds[m_random(static_cast<std::uint32_t>(seeds.size()))].m_ip;
        effects.push_back(
            start_transfer{++m_last_transfer, entry.m_exchange, ip, 9000, entry.m_head});
        entry.m_deadline = now + answer_timeout;
        m_transfers[m_last_transfer] = std::move(entry);
    }

    void retry_timed_out(instant now, effect_list& effects)
    {
        for (auto position = m_transfers.begin(); position != m_transfers.end();) {
            if (position->second.m_is_relayed || position->second.m_deadline > now) {
                ++position;
                continue;
            }
            effects.push_back(cancel_transfer{position->first});
            auto entry = std::move(position->second);
            position = m_transfers.erase(position);
            send(std::move(entry), now, effects);
        }
    }

    effect_list reduce(const event& input)
    {
        effect_list effects;
        std::visit(overloaded{
                       [&](const inbound_request& request) {
                           send({request.m_exchange, forwardable_request(request.m_head)},
                                input.m_at, effects);
                       },
                       [&](const transfer_head& answer) {
                           auto& entry = m_transfers.at(answer.m_transfer);
                           entry.m_is_relayed = true;
                           effects.push_back(
                               relay_transfer{answer.m_transfer, entry.m_exchange, answer.m_head});
                       },
                       [&](const transfer_ended& end) {
                           auto entry = m_transfers.extract(end.m_transfer).mapped();
                           if (entry.m_is_relayed) {
                               effects.push_back(finish_exchange{entry.m_exchange});
                           }
                           else {
                               send(std::move(entry), input.m_at, effects);
                           }
                       },
                       [&](const timer_fired&) { retry_timed_out(input.m_at, effects); },
                       [](const auto&) {},
                   },
                   input.m_body);
        return effects;
    }

    instant next_wakeup() const
    {
        auto earliest = instant::max();
        for (const auto& [transfer, entry] : m_transfers) {
            earliest = entry.m_is_relayed ? earliest : std::min(earliest, entry.m_deadline);
        }
        return earliest;
    }
};

} // namespace

event_handler make_naive_event_handler(host_settings settings, effect_list&, instant)
{
    auto proxy = std::make_shared<naive_proxy>();
    proxy->m_random.seed(settings.m_random_seed);
    proxy->m_settings = std::move(settings);
    return {[proxy](const event& input) { return proxy->reduce(input); },
            [proxy] { return proxy->next_wakeup(); }, nullptr};
}

} // namespace chivevane::test
