#include "libhost/document_exchange.h"

#include "libbase/digest.h"
#include "libdocument/parse_document.h"
#include "libpolicy/configuration/document_record.h"

#include <fmt/format.h>

namespace chivevane {

namespace {

constexpr std::string_view target_prefix = "/chivevane/documents/";
constexpr std::string_view signature_field = "Chivevane-Signature";
constexpr duration fetch_timeout = 2s;

/// Bytes. An encoded record holds the text of the document and a few short fields.
constexpr std::size_t max_record_size = max_document_size + 4096;

std::string sign(std::string_view secret, std::string_view text)
{
    return to_hex(hmac_sha256(secret, fmt::format("document\n{}", text)));
}

bool has_valid_signature(std::span<const http_field> fields, std::string_view secret,
                         std::string_view text)
{
    const auto given = find_field(fields, signature_field).value_or("");
    return equal_in_constant_time(given, sign(secret, text));
}

/// The part of an encoded document that has been received so far.
struct incoming_record {
    response_head m_head;
    std::string m_body;
};

document_fetched read_answer(const fetch_document& command, transfer_end end,
                             const incoming_record& record, std::string_view secret)
{
    document_fetched answer{command.m_name, std::nullopt, nullptr, command.m_from};
    if (end == transfer_end::complete && record.m_head.m_status == 200 &&
        has_valid_signature(record.m_head.m_fields, secret, record.m_body)) {
        answer.m_document = decode_document_record(record.m_body);
    }
    return answer;
}

} // namespace

bool is_document_request(const request_head& head)
{
    return head.m_method == "GET" && head.m_target.starts_with(target_prefix) &&
           !find_field(head.m_fields, "Chivevane-Attempt");
}

void answer_document_request(answer_writer& server, const received_request& request,
                             const configuration_state& configuration, std::string_view secret)
{
    const std::string_view target = request.m_head.m_target;
    const auto found = configuration.m_documents.find(target.substr(target_prefix.size()));
    if (!has_valid_signature(request.m_head.m_fields, secret, target) ||
        found == configuration.m_documents.end()) {
        server.respond(request.m_exchange, {404, {}}, {});
        return;
    }
    auto record = encode_document_record(found->second.m_stored);
    const response_head head{200, {{std::string{signature_field}, sign(secret, record)}}};
    server.respond(request.m_exchange, head, std::move(record));
}

void request_document(http_client& client, const fetch_document& command, std::string_view secret,
                      std::function<void(document_fetched)> on_answer)
{
    outgoing_request request;
    request.m_ip = command.m_from.m_ip;
    request.m_port = command.m_from.m_gate_port;
    const auto target = fmt::format("{}{}", target_prefix, command.m_name);
    request.m_head = {"GET", target, {{std::string{signature_field}, sign(secret, target)}}};
    request.m_total_timeout = fetch_timeout;

    auto record = std::make_shared<incoming_record>();
    transfer_handlers handlers;
    handlers.m_on_head = [record](response_head head) { record->m_head = std::move(head); };
    handlers.m_on_body = [record](std::string_view part) {
        if (record->m_body.size() + part.size() <= max_record_size) {
            record->m_body += part;
        }
        return body_flow::ready;
    };
    handlers.m_on_end = [record, command, secret = std::string{secret},
                         on_answer = std::move(on_answer)](transfer_end end, const std::string&) {
        on_answer(read_answer(command, end, *record, secret));
    };
    client.start(client.make_transfer_id(), std::move(request), std::move(handlers));
}

} // namespace chivevane
