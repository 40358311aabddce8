#include "libhost/shared_secret.h"

#include "libbase/digest.h"
#include "libbase/instant.h"
#include "libbase/log_line.h"

#include <asio/steady_timer.hpp>
#include <memory>
#include <random>

namespace chivevane {

namespace {

constexpr std::size_t secret_size = 32; // Bytes.

/// Upper bound of the random delay before the first read. The delay makes it unlikely that hosts
/// that start together all try to create the secret.
constexpr int max_initial_delay_ms = 150;

/// Upper bound of the random delay before the read after a return of the store. All hosts learn of
/// that within a second, and 2,400 of them then make 800 reads per second. Until the first of them
/// has written the secret, a host that starts makes another one.
constexpr int max_restoring_delay_ms = 3000;

constexpr duration retry_interval = 250ms;

/// The state of one call of `obtain_shared_secret` or `restore_shared_secret`.
struct shared_secret_fetch : std::enable_shared_from_this<shared_secret_fetch> {
    shared_secret_fetch(asio::io_context& loop, store_runner store, std::string key,
                        std::string proposed, std::function<void(std::string)> on_secret)
        : m_timer(loop),
          m_store(std::move(store)),
          m_key(std::move(key)),
          m_proposed(std::move(proposed)),
          m_on_secret(std::move(on_secret))
    {
    }

    void read_after(duration delay)
    {
        m_timer.expires_after(delay);
        m_timer.async_wait([self = shared_from_this()](const asio::error_code& cancelled) {
            if (!cancelled) {
                self->read();
            }
        });
    }

    void read()
    {
        m_store(store_read{m_key, m_consistency},
                [self = shared_from_this()](const store_outcome& outcome) {
                    const auto* const entries = std::get_if<store_entries>(&outcome);
                    if (entries == nullptr) {
                        self->log_failure(outcome);
                        self->read_after(retry_interval);
                        return;
                    }
                    for (const auto& entry : entries->m_entries) {
                        if (entry.m_key == self->m_key && entry.m_version != 0) {
                            self->m_on_secret(entry.m_value);
                            return;
                        }
                    }
                    self->create_secret();
                });
    }

    /// Tries to create the secret and then reads it again. Another host may win the write, and the
    /// secret to use is the one that the store holds afterwards.
    void create_secret()
    {
        m_consistency = read_consistency::latest;
        m_store(store_compare_and_swap{m_key, 0, m_proposed},
                [self = shared_from_this()](const store_outcome& outcome) {
                    const bool is_stored = std::holds_alternative<store_written>(outcome) ||
                                           std::holds_alternative<store_conflict>(outcome);
                    self->read_after(is_stored ? duration{} : retry_interval);
                });
    }

    void log_failure(const store_outcome& outcome)
    {
        if (std::exchange(m_has_logged_failure, true)) {
            return;
        }
        const auto* const failure = std::get_if<store_failure>(&outcome);
        write_warning(log_line{"shared-secret-awaited"}
                          .add("key", m_key)
                          .add("reason", failure == nullptr ? "unexpected" : failure->m_detail)
                          .add("remedy", "Check that the store in the settings answers."));
    }

    asio::steady_timer m_timer;
    store_runner m_store;
    std::string m_key;
    std::string m_proposed; ///< The secret to write if the store has none.
    std::function<void(std::string)> m_on_secret;
    read_consistency m_consistency = read_consistency::recent;
    bool m_has_logged_failure = false;
};

duration random_delay(int longest_ms)
{
    std::random_device source;
    return std::chrono::milliseconds{source() % static_cast<unsigned>(longest_ms)};
}

} // namespace

void obtain_shared_secret(asio::io_context& loop, store_runner store, std::string key,
                          std::function<void(std::string)> on_secret)
{
    std::make_shared<shared_secret_fetch>(loop, std::move(store), std::move(key),
                                          random_hex(secret_size), std::move(on_secret))
        ->read_after(random_delay(max_initial_delay_ms));
}

void restore_shared_secret(asio::io_context& loop, store_runner store, std::string key,
                           std::string secret)
{
    auto warn_if_other = [key, secret](const std::string& stored) {
        if (stored != secret) {
            write_warning(
                log_line{"shared-secret-differs"}
                    .add("key", key)
                    .add("remedy",
                         "Hosts with this secret and those with the store's don't reach each "
                         "other. Restart those with this secret."));
        }
    };
    auto restoring = std::make_shared<shared_secret_fetch>(loop, std::move(store), std::move(key),
                                                           std::move(secret), warn_if_other);
    restoring->m_consistency = read_consistency::latest;
    restoring->read_after(random_delay(max_restoring_delay_ms));
}

} // namespace chivevane
