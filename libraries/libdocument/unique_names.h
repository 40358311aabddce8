#pragma once

#include "libdocument/yaml_reader.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace chivevane {

/// The names of one kind of thing, each of which may stand only once.
class unique_names {
public:
    /// `kind` is the word for the thing in faults.
    explicit unique_names(std::string_view kind) : m_kind{kind} {}

    /// Adds `name`, which stands at `place`; a fault if it was added before. Empty names, which
    /// have a fault of their own, are passed over.
    void add(const std::string& name, const yaml_place& place, fault_list& faults);

    bool contains(const std::string& name) const { return m_lines.contains(name); }

private:
    std::string m_kind;
    std::unordered_map<std::string, std::uint32_t> m_lines; ///< Line of the first, by name.
};

} // namespace chivevane
