#include "libdocument/read_organisation.h"

#include <algorithm>
#include <fmt/format.h>

namespace chivevane {

namespace {

constexpr value_bounds<double> rate_bounds_per_s{0, 10'000'000};
constexpr value_bounds<double> burst_bounds_requests{0, 10'000'000};
constexpr value_bounds<std::int64_t> priority_bounds{0, 1'000};
constexpr std::size_t digest_length = 64; // The count of hexadecimal digits.

api_key read_key(const yaml_place& place, unique_names& digests, fault_list& faults)
{
    yaml_map_reader reader{place, {"name", "digest"}, faults};
    api_key key{reader.name("name"), reader.text("digest")};
    if (!key.m_digest.empty() && !is_key_digest(key.m_digest)) {
        reader.fault(error_kind::out_of_range, "digest", "the value is no SHA-256 digest.",
                     "Give 64 lower-case hexadecimal digits, as `chivevanectl key create` does.");
    }
    digests.add(key.m_digest, place, faults);
    return key;
}

/// Reads the rate and the burst, or sets both to `unlimited_rate` if the organisation is unlimited.
void read_limit(yaml_map_reader& reader, organisation& owner)
{
    if (reader.flag_or("unlimited", false)) {
        owner.m_rate = unlimited_rate;
        owner.m_burst = unlimited_rate;
        return;
    }
    owner.m_rate = reader.number("rate", rate_bounds_per_s);
    owner.m_burst = reader.number("burst", burst_bounds_requests);
}

} // namespace

bool is_key_digest(std::string_view text)
{
    return text.size() == digest_length && std::all_of(text.begin(), text.end(), [](char digit) {
               return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
           });
}

organisation read_organisation(const yaml_place& place, unique_names& digests, fault_list& faults)
{
    yaml_map_reader reader{
        place, {"name", "rate", "burst", "unlimited", "keys", "priority"}, faults};
    organisation owner;
    owner.m_name = reader.name("name");
    read_limit(reader, owner);
    if (reader.has("priority")) {
        owner.m_priority = static_cast<std::uint32_t>(reader.integer("priority", priority_bounds));
    }
    if (owner.m_rate > 0 && owner.m_burst < 1) {
        reader.fault(error_kind::out_of_range, "burst",
                     "with less than one no request could ever start.",
                     "Give a burst of 1 or more, or a rate of 0 to suspend the organisation.");
    }
    unique_names names{"key"};
    for (const auto& key_place : reader.items("keys")) {
        auto key = read_key(key_place, digests, faults);
        names.add(key.m_name, key_place, faults);
        owner.m_keys.push_back(std::move(key));
    }
    return owner;
}

} // namespace chivevane
