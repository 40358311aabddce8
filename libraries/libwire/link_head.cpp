#include "libwire/link_head.h"

#include "libbase/digest.h"

#include <charconv>
#include <fmt/format.h>

namespace chivevane {

namespace {

constexpr std::string_view signature_field = "Chivevane-Signature";
constexpr std::string_view target_left_field = "Chivevane-Target-Left";
constexpr std::string_view mode_field = "Chivevane-Mode";

std::string text_to_sign(const request_head& head, std::uint64_t body_hash)
{
    auto text = fmt::format("{}\n{}\n{}\n", head.m_method, head.m_target, body_hash);
    for (const auto& field : head.m_fields) {
        const auto is_link_field = equal_ignoring_case(
            std::string_view{field.m_name}.substr(0, link_field_prefix.size()), link_field_prefix);
        if (is_link_field && !equal_ignoring_case(field.m_name, signature_field)) {
            fmt::format_to(std::back_inserter(text), "{}\n", field.m_value);
        }
    }
    return text;
}

error malformed(std::string_view name)
{
    return {error_kind::malformed, fmt::format("The field {} is missing or not valid.", name),
            "Send requests for upstreams to a caller port; gate ports are for hosts only."};
}

/// Reads fields one after another and remembers the first that failed.
class field_reader {
public:
    explicit field_reader(const request_head& head) : m_head(head) {}

    std::string_view text(std::string_view name)
    {
        const auto value = find_field(m_head.m_fields, name);
        if (!value && m_failed_field.empty()) {
            m_failed_field = name;
        }
        return value.value_or(std::string_view{});
    }

    template <typename Number>
    Number number(std::string_view name)
    {
        Number value{};
        const auto digits = text(name);
        const auto* end = digits.data() + digits.size();
        const auto [stop, problem] = std::from_chars(digits.data(), end, value);
        if ((problem != std::errc{} || stop != end) && m_failed_field.empty()) {
            m_failed_field = name;
        }
        return value;
    }

    std::string_view failed_field() const { return m_failed_field; }

private:
    const request_head& m_head;
    std::string_view m_failed_field;
};

/// Repeat, waiting and insistence as one digit each, then the priority.
std::string format_mode(const link_head& link)
{
    return fmt::format("{}{}{}{}", static_cast<int>(link.m_repeat),
                       static_cast<int>(link.m_waiting), static_cast<int>(link.m_insistence),
                       link.m_priority);
}

bool parse_mode(std::string_view text, link_head& link)
{
    const bool has_digits = text.size() >= 4 && text[0] >= '0' && text[0] <= '2' &&
                            (text[1] == '0' || text[1] == '1') &&
                            (text[2] == '0' || text[2] == '1');
    if (!has_digits) {
        return false;
    }
    link.m_repeat = static_cast<link_repeat>(text[0] - '0');
    link.m_waiting = static_cast<link_waiting>(text[1] - '0');
    link.m_insistence = static_cast<link_insistence>(text[2] - '0');
    const auto* const end = text.data() + text.size();
    const auto [stop, problem] = std::from_chars(text.data() + 3, end, link.m_priority);
    return problem == std::errc{} && stop == end;
}

} // namespace

void add_link_fields(request_head& head, const link_head& link, std::uint64_t body_hash,
                     std::string_view secret)
{
    const auto add = [&head](std::string_view name, std::string value) {
        head.m_fields.push_back({std::string{name}, std::move(value)});
    };
    add(attempt_field, to_string(link.m_attempt));
    add("Chivevane-Gate", std::to_string(link.m_gate_incarnation));
    add("Chivevane-Endpoint", link.m_endpoint);
    add("Chivevane-Service", link.m_service);
    add("Chivevane-Route", link.m_route);
    add("Chivevane-Document", link.m_document);
    add("Chivevane-Organisation", link.m_organisation);
    add("Chivevane-Revision", std::to_string(link.m_revision));
    add("Chivevane-Fingerprint", std::to_string(link.m_fingerprint));
    add("Chivevane-Time-Left", std::to_string(link.m_time_left.count()));
    add(target_left_field, std::to_string(link.m_target_left.count()));
    add(gate_clock_field, std::to_string(link.m_gate_clock));
    add(mode_field, format_mode(link));
    if (!link.m_strike.empty()) {
        add(strike_field, link.m_strike);
    }
    add(signature_field, to_hex(hmac_sha256(secret, text_to_sign(head, body_hash))));
}

result<link_head> parse_link_fields(const request_head& head, std::uint64_t body_hash,
                                    std::string_view secret)
{
    const auto expected = to_hex(hmac_sha256(secret, text_to_sign(head, body_hash)));
    const auto given = find_field(head.m_fields, signature_field).value_or("");
    if (!equal_in_constant_time(expected, given)) {
        return error{error_kind::unauthenticated, "The request is not signed by a host.",
                     "Give all hosts the same shared_secret; callers use the caller port."};
    }
    field_reader fields{head};
    const auto attempt = parse_attempt_id(fields.text(attempt_field));
    if (!attempt) {
        return malformed(attempt_field);
    }
    link_head link;
    link.m_attempt = *attempt;
    link.m_gate_incarnation = fields.number<std::uint64_t>("Chivevane-Gate");
    link.m_endpoint = fields.text("Chivevane-Endpoint");
    link.m_service = fields.text("Chivevane-Service");
    link.m_route = fields.text("Chivevane-Route");
    link.m_document = fields.text("Chivevane-Document");
    link.m_organisation = fields.text("Chivevane-Organisation");
    link.m_revision = fields.number<std::uint64_t>("Chivevane-Revision");
    link.m_fingerprint = fields.number<std::uint64_t>("Chivevane-Fingerprint");
    link.m_time_left =
        std::chrono::milliseconds{fields.number<std::int64_t>("Chivevane-Time-Left")};
    link.m_target_left = std::chrono::milliseconds{fields.number<std::int64_t>(target_left_field)};
    link.m_gate_clock = fields.number<std::int64_t>(gate_clock_field);
    link.m_strike = find_field(head.m_fields, strike_field).value_or("");
    if (!parse_mode(fields.text(mode_field), link)) {
        return malformed(mode_field);
    }
    if (!fields.failed_field().empty()) {
        return malformed(fields.failed_field());
    }
    return link;
}

void remove_link_fields(std::vector<http_field>& fields)
{
    std::erase_if(fields, [](const http_field& field) {
        return equal_ignoring_case(
            std::string_view{field.m_name}.substr(0, link_field_prefix.size()), link_field_prefix);
    });
}

} // namespace chivevane
