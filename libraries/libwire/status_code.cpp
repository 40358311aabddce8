#include "libwire/status_code.h"

namespace chivevane {

namespace {

constexpr std::uint16_t first_final_status = 200;
constexpr std::uint16_t last_final_status = 599;

// The registered interim responses, without 101: a server may only switch protocols if asked to.
constexpr std::uint16_t status_continue = 100;
constexpr std::uint16_t status_processing = 102;
constexpr std::uint16_t status_early_hints = 103;

} // namespace

response_kind response_kind_of(std::uint16_t status)
{
    if (status >= first_final_status && status <= last_final_status) {
        return response_kind::final;
    }
    const bool is_interim =
        status == status_continue || status == status_processing || status == status_early_hints;
    return is_interim ? response_kind::interim : response_kind::invalid;
}

} // namespace chivevane
