#include "libdocument/unique_names.h"

#include <fmt/format.h>

namespace chivevane {

void unique_names::add(const std::string& name, const yaml_place& place, fault_list& faults)
{
    if (name.empty()) {
        return;
    }
    const auto [first_use, is_new] = m_lines.try_emplace(name, place.m_node->m_line);
    if (!is_new) {
        add_fault(
            faults, error_kind::duplicate, place,
            fmt::format("the {} `{}` stands in line {} already.", m_kind, name, first_use->second),
            "Keep one of them, or rename it.");
    }
}

} // namespace chivevane
