#include "libbase/rendezvous.h"

#include "libbase/digest.h"

namespace chivevane {

std::string_view rendezvous_owner(std::string_view key, std::span<const std::string> members)
{
    const auto key_hash = stable_hash(key);
    std::string_view owner;
    std::uint64_t highest_weight = 0;
    for (const auto& member : members) {
        const auto weight = stable_hash(member, key_hash);
        if (owner.empty() || weight > highest_weight ||
            (weight == highest_weight && member < owner)) {
            owner = member;
            highest_weight = weight;
        }
    }
    return owner;
}

} // namespace chivevane
