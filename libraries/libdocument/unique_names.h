#pragma once

#include "libdocument/yaml_reader.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace chivevane {

/// A set of names of one kind, each of which may occur only once in a document.
class unique_names {
public:
    /// `kind` is the word that faults use for what is named.
    explicit unique_names(std::string_view kind) : m_kind{kind} {}

    /// Adds `name`, which was read at `place`. A name that was added before is a fault. Empty names
    /// are ignored, because the reader reports them already.
    void add(const std::string& name, const yaml_place& place, fault_list& faults);

    bool contains(const std::string& name) const { return m_lines.contains(name); }

private:
    std::string m_kind;
    /// The line of the first occurrence, by name.
    std::unordered_map<std::string, std::uint32_t> m_lines;
};

} // namespace chivevane
