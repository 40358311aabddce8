#include "libwire/attempt_metadata.h"

#include "libbase/digest.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace chivevane {

namespace {

/// Field that holds the members of an `attempt_metadata` except the attempt and the crashed run,
/// followed by the signature over all members.
constexpr std::string_view attempt_metadata_field = "Chivevane-Link";

/// Length of the signature in hexadecimal digits: an HMAC truncated to 128 bits.
constexpr std::size_t signature_size = 32;

/// Placeholder for an empty name. Names never begin with this character.
constexpr std::string_view empty_name_placeholder = "-";

std::string sign(const request_head& head, std::string_view attempt, std::string_view metadata,
                 std::string_view crashed_run, std::uint64_t body_hash, std::string_view secret)
{
    const auto text = fmt::format("{}\n{}\n{}\n{}\n{}\n{}", head.m_method, head.m_target, body_hash,
                                  attempt, metadata, crashed_run);
    return to_hex(hmac_sha256(secret, text)).substr(0, signature_size);
}

std::string_view name_or_placeholder(const std::string& name)
{
    return name.empty() ? empty_name_placeholder : std::string_view{name};
}

error malformed(std::string_view name)
{
    return {error_kind::malformed, fmt::format("The field {} is missing or not valid.", name),
            "Send requests for upstreams to a caller port; gate ports are for hosts only."};
}

/// Parses the space-separated parts of the metadata field and records whether any of them is
/// invalid.
class part_reader {
public:
    explicit part_reader(std::string_view text) : m_remaining(text) {}

    std::string_view text()
    {
        const auto end = std::min(m_remaining.find(' '), m_remaining.size());
        const auto part = m_remaining.substr(0, end);
        m_remaining.remove_prefix(std::min(end + 1, m_remaining.size()));
        m_has_failed = m_has_failed || part.empty();
        return part;
    }

    std::string name()
    {
        const auto part = text();
        return part == empty_name_placeholder ? std::string{} : std::string{part};
    }

    template <typename Number>
    Number number()
    {
        Number value{};
        const auto digits = text();
        const auto* const end = digits.data() + digits.size();
        const auto [parsed_end, error_code] = std::from_chars(digits.data(), end, value);
        m_has_failed = m_has_failed || error_code != std::errc{} || parsed_end != end;
        return value;
    }

    bool has_failed() const { return m_has_failed || !m_remaining.empty(); }

private:
    std::string_view m_remaining;
    bool m_has_failed = false;
};

/// Formats the enumerators `m_repeat`, `m_queueing` and `m_circuit_breaker_mode` as one digit each,
/// followed by the priority.
std::string format_flags_and_priority(const attempt_metadata& metadata)
{
    return fmt::format("{}{}{}{}", static_cast<int>(metadata.m_repeat),
                       static_cast<int>(metadata.m_queueing),
                       static_cast<int>(metadata.m_circuit_breaker_mode), metadata.m_priority);
}

bool parse_flags_and_priority(std::string_view text, attempt_metadata& metadata)
{
    const bool has_valid_flags = text.size() >= 4 && text[0] >= '0' && text[0] <= '2' &&
                                 (text[1] == '0' || text[1] == '1') &&
                                 (text[2] == '0' || text[2] == '1');
    if (!has_valid_flags) {
        return false;
    }
    metadata.m_repeat = static_cast<repeat_permission>(text[0] - '0');
    metadata.m_queueing = static_cast<queueing_permission>(text[1] - '0');
    metadata.m_circuit_breaker_mode = static_cast<circuit_breaker_mode>(text[2] - '0');
    const auto* const end = text.data() + text.size();
    const auto [parsed_end, error_code] =
        std::from_chars(text.data() + 3, end, metadata.m_priority);
    return error_code == std::errc{} && parsed_end == end;
}

} // namespace

void add_attempt_metadata(request_head& head, const attempt_metadata& metadata,
                          std::uint64_t body_hash, std::string_view secret)
{
    const auto attempt = to_string(metadata.m_attempt);
    auto text = fmt::format(
        "{} {} {} {} {} {} {} {} {} {} {} {}", metadata.m_gate_incarnation,
        name_or_placeholder(metadata.m_endpoint), name_or_placeholder(metadata.m_service),
        name_or_placeholder(metadata.m_route), name_or_placeholder(metadata.m_document),
        name_or_placeholder(metadata.m_organisation), metadata.m_revision, metadata.m_fingerprint,
        metadata.m_timeout_left.count(), metadata.m_latency_target_left.count(),
        metadata.m_gate_clock, format_flags_and_priority(metadata));
    const auto signature = sign(head, attempt, text, metadata.m_crashed_run, body_hash, secret);
    head.m_fields.push_back({std::string{attempt_field}, attempt});
    head.m_fields.push_back(
        {std::string{attempt_metadata_field}, fmt::format("{} {}", text, signature)});
    if (!metadata.m_crashed_run.empty()) {
        head.m_fields.push_back({std::string{crashed_run_field}, metadata.m_crashed_run});
    }
}

result<attempt_metadata> parse_attempt_metadata(const request_head& head, std::uint64_t body_hash,
                                                std::string_view secret)
{
    const auto field = find_field(head.m_fields, attempt_metadata_field).value_or("");
    const auto crashed_run = find_field(head.m_fields, crashed_run_field).value_or("");
    const auto last_space = std::min(field.rfind(' '), field.size());
    const auto text = field.substr(0, last_space);
    const auto received_signature = field.substr(std::min(last_space + 1, field.size()));
    const auto id = find_field(head.m_fields, attempt_field).value_or("");
    if (!equal_in_constant_time(sign(head, id, text, crashed_run, body_hash, secret),
                                received_signature)) {
        return error{error_kind::unauthenticated, "The request is not signed by a host.",
                     "Give all hosts the same shared_secret; callers use the caller port."};
    }
    part_reader parts{text};
    const auto attempt = parse_attempt_id(id);
    if (!attempt) {
        return malformed(attempt_field);
    }
    attempt_metadata metadata;
    metadata.m_attempt = *attempt;
    metadata.m_gate_incarnation = parts.number<std::uint64_t>();
    metadata.m_endpoint = parts.name();
    metadata.m_service = parts.name();
    metadata.m_route = parts.name();
    metadata.m_document = parts.name();
    metadata.m_organisation = parts.name();
    metadata.m_revision = parts.number<std::uint64_t>();
    metadata.m_fingerprint = parts.number<std::uint64_t>();
    metadata.m_timeout_left = std::chrono::milliseconds{parts.number<std::int64_t>()};
    metadata.m_latency_target_left = std::chrono::milliseconds{parts.number<std::int64_t>()};
    metadata.m_gate_clock = parts.number<std::int64_t>();
    const bool has_flags_and_priority = parse_flags_and_priority(parts.text(), metadata);
    metadata.m_crashed_run = crashed_run;
    if (!has_flags_and_priority || parts.has_failed()) {
        return malformed(attempt_metadata_field);
    }
    return metadata;
}

void remove_internal_fields(std::vector<http_field>& fields)
{
    std::erase_if(fields, [](const http_field& field) {
        return equal_ignoring_case(
            std::string_view{field.m_name}.substr(0, internal_field_prefix.size()),
            internal_field_prefix);
    });
}

} // namespace chivevane
