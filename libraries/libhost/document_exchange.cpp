#include "libhost/document_exchange.h"

#include "libbase/digest.h"
#include "libpolicy/configuration/document_record.h"
#include "libpolicy/configuration/document_transfer.h"
#include "libpolicy/configuration/documents_in_force.h"

#include <fmt/format.h>
#include <span>
#include <utility>

namespace chivevane {

namespace {

constexpr std::string_view target_prefix = "/chivevane/documents/";
constexpr std::string_view signature_field = "Chivevane-Signature";
constexpr duration fetch_timeout = 2s;

/// Media type of compressed documents, as requests accept them and answers name them.
constexpr std::string_view compressed_type = "application/zlib";

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

bool has_compressed_type(std::span<const http_field> fields, std::string_view name)
{
    return find_field(fields, name) == compressed_type;
}

/// The part of an answer that has been received so far.
struct incoming_answer {
    response_head m_head;
    std::string m_body;
};

std::optional<transferred_document> read_body(const incoming_answer& received)
{
    return has_compressed_type(received.m_head.m_fields, "Content-Type")
               ? decompress_document(received.m_body)
               : decode_document_transfer(received.m_body);
}

document_fetched read_answer(const fetch_document& command, transfer_end end,
                             const incoming_answer& received, std::string_view secret)
{
    document_fetched answer{command.m_name, std::nullopt, nullptr, command.m_from};
    if (end != transfer_end::complete || received.m_head.m_status != 200 ||
        !has_valid_signature(received.m_head.m_fields, secret, received.m_body)) {
        return answer;
    }
    if (auto transferred = read_body(received)) {
        answer.m_document = std::move(transferred->m_stored);
        answer.m_parsed_document = std::move(transferred->m_parsed_document);
    }
    return answer;
}

/// Returns the compressed answer from the cache, after replacing it if it is of another revision.
const std::string& cached_document(document_answer_cache& cache, const document_in_force& in_force)
{
    auto& cached = cache.m_entries[in_force.m_stored.m_name];
    const auto revision = configuration::revision_of(in_force.m_stored);
    if (cached.m_body.empty() || cached.m_revision != revision) {
        cached = {revision, compress_document(in_force.m_stored, *in_force.m_document)};
    }
    return cached.m_body;
}

void respond_with_document(answer_writer& server, exchange_id exchange, response_head head,
                           std::string body, std::string_view secret)
{
    head.m_fields.push_back({std::string{signature_field}, sign(secret, body)});
    server.respond(exchange, head, std::move(body));
}

} // namespace

bool is_document_request(const request_head& head)
{
    return head.m_method == "GET" && head.m_target.starts_with(target_prefix) &&
           !find_field(head.m_fields, "Chivevane-Attempt");
}

void answer_document_request(answer_writer& server, const received_request& request,
                             const configuration_state& configuration, std::string_view secret,
                             document_answer_cache& cache)
{
    const std::string_view target = request.m_head.m_target;
    const auto found = configuration.m_documents.find(target.substr(target_prefix.size()));
    if (!has_valid_signature(request.m_head.m_fields, secret, target) ||
        found == configuration.m_documents.end()) {
        server.respond(request.m_exchange, {404, {}}, {});
        return;
    }
    if (has_compressed_type(request.m_head.m_fields, "Accept")) {
        respond_with_document(server, request.m_exchange,
                              {200, {{"Content-Type", std::string{compressed_type}}}},
                              cached_document(cache, found->second), secret);
        return;
    }
    respond_with_document(server, request.m_exchange, {200, {}},
                          encode_document_record(found->second.m_stored), secret);
}

void request_document(http_client& client, const fetch_document& command, std::string_view secret,
                      std::function<void(document_fetched)> on_answer)
{
    outgoing_request request;
    request.m_ip = command.m_from.m_ip;
    request.m_port = command.m_from.m_gate_port;
    const auto target = fmt::format("{}{}", target_prefix, command.m_name);
    request.m_head = {"GET",
                      target,
                      {{std::string{signature_field}, sign(secret, target)},
                       {"Accept", std::string{compressed_type}}}};
    request.m_total_timeout = fetch_timeout;

    auto received = std::make_shared<incoming_answer>();
    transfer_handlers handlers;
    handlers.m_on_head = [received](response_head head) { received->m_head = std::move(head); };
    handlers.m_on_body = [received](std::string_view part) {
        if (received->m_body.size() + part.size() <= max_document_transfer_size) {
            received->m_body += part;
        }
        return body_flow::ready;
    };
    handlers.m_on_end = [received, command, secret = std::string{secret},
                         on_answer = std::move(on_answer)](transfer_end end, const std::string&) {
        on_answer(read_answer(command, end, *received, secret));
    };
    client.start(client.make_transfer_id(), std::move(request), std::move(handlers));
}

} // namespace chivevane
