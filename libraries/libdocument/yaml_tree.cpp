#include "libdocument/yaml_tree.h"

#include <algorithm>
#include <fmt/format.h>
#include <optional>
#include <sstream>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

namespace chivevane {

namespace {

/// The exception that stops yaml-cpp's parser, which cannot be stopped otherwise. `parse_yaml`
/// catches it.
struct yaml_parse_failure {
    error m_error;
};

[[noreturn]] void fail(error_kind kind, const YAML::Mark& mark, std::string_view what,
                       std::string_view remedy)
{
    throw yaml_parse_failure{
        {kind, fmt::format("line {}: {}", mark.line + 1, what), std::string{remedy}}};
}

bool is_ordinary_tag(const std::string& tag)
{
    return tag.empty() || tag == "?" || tag == "!";
}

/// Builds the YAML tree from the events of yaml-cpp's parser.
class tree_builder final : public YAML::EventHandler {
public:
    explicit tree_builder(const yaml_limits& limits) : m_limits{limits} {}

    void OnDocumentStart(const YAML::Mark& /*mark*/) override {}
    void OnDocumentEnd() override {}

    void OnAnchor(const YAML::Mark& mark, const std::string& /*name*/) override
    {
        fail(error_kind::syntax, mark, "anchors and aliases are not allowed.",
             "Write the value out at each place.");
    }

    void OnAlias(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override { OnAnchor(mark, ""); }

    void OnNull(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override
    {
        add_node(make_node(mark, yaml_kind::null));
    }

    void OnScalar(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t /*anchor*/,
                  const std::string& value) override
    {
        check_tag(mark, tag);
        auto node = make_node(mark, yaml_kind::scalar);
        node.m_scalar = value;
        node.m_is_quoted = tag == "!";
        add_node(std::move(node));
    }

    void OnSequenceStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t /*anchor*/,
                         YAML::EmitterStyle::value style) override
    {
        open(mark, tag, yaml_kind::sequence, style);
    }

    void OnSequenceEnd() override { close(); }

    void OnMapStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t /*anchor*/,
                    YAML::EmitterStyle::value style) override
    {
        open(mark, tag, yaml_kind::map, style);
    }

    void OnMapEnd() override { close(); }

    std::optional<yaml_node> m_root;

private:
    /// A collection whose end event is still to come.
    struct open_collection {
        yaml_node m_node;
        std::optional<yaml_field> m_field; ///< The field of a map whose value is the next node.
    };

    static void check_tag(const YAML::Mark& mark, const std::string& tag)
    {
        if (!is_ordinary_tag(tag)) {
            fail(error_kind::wrong_type, mark, "tags are not allowed.", "Remove the tag.");
        }
    }

    yaml_node make_node(const YAML::Mark& mark, yaml_kind kind)
    {
        if (++m_count > m_limits.m_nodes) {
            fail(error_kind::too_large, mark,
                 fmt::format("the text has more than {} values.", m_limits.m_nodes),
                 "Split the text.");
        }
        yaml_node node;
        node.m_kind = kind;
        node.m_line = static_cast<std::uint32_t>(mark.line + 1);
        node.m_column = static_cast<std::uint32_t>(mark.column);
        return node;
    }

    void open(const YAML::Mark& mark, const std::string& tag, yaml_kind kind,
              YAML::EmitterStyle::value style)
    {
        check_tag(mark, tag);
        if (m_open.size() >= m_limits.m_depth) {
            fail(error_kind::too_large, mark,
                 fmt::format("values are nested more than {} deep.", m_limits.m_depth),
                 "Use the nesting that the format has.");
        }
        auto node = make_node(mark, kind);
        node.m_style = style == YAML::EmitterStyle::Flow ? yaml_style::flow : yaml_style::block;
        m_open.push_back({std::move(node), std::nullopt});
    }

    void close()
    {
        auto node = std::move(m_open.back().m_node);
        m_open.pop_back();
        add_node(std::move(node));
    }

    void add_node(yaml_node node)
    {
        if (m_open.empty()) {
            m_root = std::move(node);
            return;
        }
        auto& parent = m_open.back();
        if (parent.m_node.m_kind == yaml_kind::sequence) {
            parent.m_node.m_items.push_back(std::move(node));
        }
        else if (parent.m_field) {
            parent.m_field->m_value = std::move(node);
            parent.m_node.m_fields.push_back(std::move(*parent.m_field));
            parent.m_field.reset();
        }
        else {
            begin_field(parent, std::move(node));
        }
    }

    static void begin_field(open_collection& parent, yaml_node key)
    {
        if (key.m_kind != yaml_kind::scalar) {
            throw yaml_parse_failure{
                {error_kind::wrong_type,
                 fmt::format("line {}: the name of a field is no text.", key.m_line),
                 "Give the field a name."}};
        }
        parent.m_field = yaml_field{std::move(key.m_scalar), key.m_line, key.m_column, {}};
    }

    const yaml_limits& m_limits;
    std::vector<open_collection> m_open;
    std::size_t m_count = 0;
};

yaml_node build_tree(std::string_view text, const yaml_limits& limits)
{
    std::istringstream stream{std::string{text}};
    YAML::Parser parser{stream};
    tree_builder builder{limits};
    parser.HandleNextDocument(builder);
    if (!builder.m_root) {
        throw yaml_parse_failure{
            {error_kind::syntax, "line 1: the text is empty.", "Give at least one field."}};
    }
    auto root = std::move(*builder.m_root);
    if (parser.HandleNextDocument(builder)) {
        throw yaml_parse_failure{{error_kind::syntax, "The text has more than one YAML document.",
                                  "Keep one document and remove the lines ---."}};
    }
    return root;
}

} // namespace

result<yaml_node> parse_yaml(std::string_view text, const yaml_limits& limits)
{
    if (text.size() > limits.m_bytes) {
        return error{error_kind::too_large,
                     fmt::format("The text has {} bytes; at most {} are allowed.", text.size(),
                                 limits.m_bytes),
                     "Split it."};
    }
    try {
        return build_tree(text, limits);
    }
    catch (const yaml_parse_failure& fault) {
        return fault.m_error;
    }
    catch (const YAML::Exception& problem) {
        return error{error_kind::syntax,
                     fmt::format("line {}: {}.", problem.mark.line + 1, problem.msg),
                     "Correct the YAML at that place."};
    }
    catch (const std::exception& problem) {
        return error{error_kind::syntax, fmt::format("The text is no YAML: {}.", problem.what()),
                     "Correct the YAML."};
    }
}

const yaml_field* find_yaml_field(const yaml_node& map, std::string_view name)
{
    const auto found = std::find_if(map.m_fields.begin(), map.m_fields.end(),
                                    [&](const yaml_field& field) { return field.m_name == name; });
    return found == map.m_fields.end() ? nullptr : &*found;
}

} // namespace chivevane
