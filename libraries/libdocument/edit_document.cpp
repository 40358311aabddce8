#include "libdocument/edit_document.h"

#include "libdocument/edit_text.h"
#include "libdocument/format_document.h"
#include "libdocument/parse_document.h"

#include <algorithm>
#include <fmt/format.h>
#include <optional>

namespace chivevane {

namespace {

/// A document that is being edited: its text, the YAML tree that holds the position of each node,
/// and the parsed document.
struct opened_document {
    std::string_view m_text;
    yaml_node m_root;
    document m_document;
};

result<opened_document> open_document(std::string_view text)
{
    auto parsed_document = parse_document(text);
    if (is_error(parsed_document)) {
        return error_of(parsed_document);
    }
    auto root = parse_yaml(text, {max_document_size});
    if (is_error(root)) {
        return error_of(root);
    }
    return opened_document{text, value_of(std::move(root)), value_of(std::move(parsed_document))};
}

/// Returns the edited text if it parses as the document `edited`, and the canonical form of
/// `edited` otherwise. Fails if the canonical form is not a valid document.
result<edited_document> finish_edit(const document& edited, std::optional<std::string> edited_text)
{
    if (edited_text) {
        const auto parsed = parse_document(*edited_text);
        if (!is_error(parsed) && value_of(parsed) == edited) {
            return edited_document{std::move(*edited_text), edit_extent::in_place};
        }
    }
    auto canonical = format_document(edited);
    if (const auto parsed = parse_document(canonical); is_error(parsed)) {
        return error_of(parsed);
    }
    return edited_document{std::move(canonical), edit_extent::whole_document};
}

template <typename Item>
std::optional<std::size_t> find_by_name(const std::vector<Item>& items, std::string_view name)
{
    const auto found = std::find_if(items.begin(), items.end(),
                                    [&](const Item& item) { return item.m_name == name; });
    if (found == items.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - items.begin());
}

error no_organisation(const document& parsed_document, std::string_view name)
{
    return {error_kind::not_found,
            fmt::format("{} has no organisation `{}`.", parsed_document.m_name, name),
            "Correct the name, or add the organisation to the document first."};
}

const yaml_node& organisation_node(const yaml_node& root, std::size_t index)
{
    return find_yaml_field(root, "organisations")->m_value.m_items.at(index);
}

std::optional<std::size_t> find_datacentre(const document& parsed_document,
                                           std::string_view datacentre)
{
    const auto& out = parsed_document.m_datacentres_out;
    const auto found = std::find(out.begin(), out.end(), datacentre);
    if (found == out.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - out.begin());
}

bool has_digest(const document& parsed_document, std::string_view digest)
{
    return std::any_of(parsed_document.m_organisations.begin(),
                       parsed_document.m_organisations.end(), [&](const organisation& owner) {
                           return std::any_of(
                               owner.m_keys.begin(), owner.m_keys.end(),
                               [&](const api_key& key) { return key.m_digest == digest; });
                       });
}

} // namespace

result<edited_document> add_key(std::string_view text, std::string_view organisation_name,
                                const api_key& key)
{
    const auto opened = open_document(text);
    if (is_error(opened)) {
        return error_of(opened);
    }
    const auto& [old_text, root, parsed_document] = value_of(opened);
    const auto owner = find_by_name(parsed_document.m_organisations, organisation_name);
    if (!owner) {
        return no_organisation(parsed_document, organisation_name);
    }
    if (find_by_name(parsed_document.m_organisations[*owner].m_keys, key.m_name) ||
        has_digest(parsed_document, key.m_digest)) {
        return error{error_kind::duplicate,
                     fmt::format("The name or the digest of the key `{}` is taken.", key.m_name),
                     "Choose another name, or withdraw the old key first."};
    }
    auto edited = parsed_document;
    auto& keys = edited.m_organisations[*owner].m_keys;
    const auto& node = organisation_node(root, *owner);
    const auto* const list = find_yaml_field(node, "keys");
    // A new item of a flow list is inserted first, because the position of the opening bracket is
    // known and that of the closing one is not.
    const bool is_inserted_first = list != nullptr && list->m_value.m_style == yaml_style::flow;
    keys.insert(is_inserted_first ? keys.begin() : keys.end(), key);
    return finish_edit(edited, insert_list_item(old_text, node, "keys", format_key(key)));
}

result<edited_document> withdraw_key(std::string_view text, std::string_view organisation_name,
                                     std::string_view key_name)
{
    const auto opened = open_document(text);
    if (is_error(opened)) {
        return error_of(opened);
    }
    const auto& [old_text, root, parsed_document] = value_of(opened);
    const auto owner = find_by_name(parsed_document.m_organisations, organisation_name);
    if (!owner) {
        return no_organisation(parsed_document, organisation_name);
    }
    const auto key = find_by_name(parsed_document.m_organisations[*owner].m_keys, key_name);
    if (!key) {
        return error{error_kind::not_found,
                     fmt::format("{} has no key `{}`.", organisation_name, key_name),
                     "Correct the name; the key may have been withdrawn already."};
    }
    auto edited = parsed_document;
    auto& keys = edited.m_organisations[*owner].m_keys;
    keys.erase(keys.begin() + static_cast<std::ptrdiff_t>(*key));
    const auto& list = find_yaml_field(organisation_node(root, *owner), "keys")->m_value;
    return finish_edit(edited, remove_list_item(old_text, list, *key));
}

result<edited_document> take_datacentre_out(std::string_view text, std::string_view datacentre)
{
    const auto opened = open_document(text);
    if (is_error(opened)) {
        return error_of(opened);
    }
    const auto& [old_text, root, parsed_document] = value_of(opened);
    if (find_datacentre(parsed_document, datacentre)) {
        return edited_document{std::string{text}, edit_extent::nothing};
    }
    auto edited = parsed_document;
    auto& out = edited.m_datacentres_out;
    const auto* const list = find_yaml_field(root, "datacentres_out");
    const bool is_inserted_first = list != nullptr && list->m_value.m_style == yaml_style::flow;
    out.emplace(is_inserted_first ? out.begin() : out.end(), datacentre);
    const auto item = format_scalar(std::string{datacentre});
    return finish_edit(edited, insert_list_item(old_text, root, "datacentres_out", item));
}

result<edited_document> bring_datacentre_in(std::string_view text, std::string_view datacentre)
{
    const auto opened = open_document(text);
    if (is_error(opened)) {
        return error_of(opened);
    }
    const auto& [old_text, root, parsed_document] = value_of(opened);
    const auto index = find_datacentre(parsed_document, datacentre);
    if (!index) {
        return edited_document{std::string{text}, edit_extent::nothing};
    }
    auto edited = parsed_document;
    auto& out = edited.m_datacentres_out;
    out.erase(out.begin() + static_cast<std::ptrdiff_t>(*index));
    const auto& list = find_yaml_field(root, "datacentres_out")->m_value;
    return finish_edit(edited, remove_list_item(old_text, list, *index));
}

} // namespace chivevane
