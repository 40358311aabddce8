#include "libbase/digest.h"
#include "libdocument/parse_document.h"
#include "libpolicy/configuration/configuration.h"
#include "libpolicy/configuration/document_record.h"
#include "libpolicy/reduce.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>
#include <malloc.h>

using namespace chivevane;

namespace {

constexpr std::size_t document_count = 970;
constexpr std::size_t organisations_per_document = 92; // About 89,000 in all documents.
constexpr std::size_t routes_per_document = 9;         // About 9,000 in all documents.

std::string document_text(std::size_t number, std::size_t organisations, std::size_t routes)
{
    auto text = fmt::format("document: team-{}\norganisations:\n", number);
    for (std::size_t index = 0; index < organisations; ++index) {
        const auto name = fmt::format("organisation-{}-{}", number, index);
        text += fmt::format("  - {{name: {}, rate: 10, burst: 10, keys: [{{name: first, "
                            "digest: {}}}]}}\n",
                            name, sha256_hex(name));
    }
    text += fmt::format("services:\n  - {{name: service-{}, floor: 0.5}}\nroutes:\n", number);
    for (std::size_t route = 0; route < routes; ++route) {
        text +=
            fmt::format("  - {{name: route-{}, path_prefix: /team-{}/{}, service: service-{}}}\n",
                        route, number, route, number);
    }
    return text;
}

stored_document stored(std::size_t number, std::uint64_t revision)
{
    return {fmt::format("team-{}", number), revision, fmt::format("edit-{}", revision),
            document_text(number, organisations_per_document, routes_per_document)};
}

/// Makes a host with all documents in force, as received from the store in one answer.
host_state loaded_host()
{
    host_settings settings;
    settings.m_self = {"host-0001", 1};
    auto self = start_host(settings, instant{1h}, 0).m_state;
    store_entries entries{1, {}};
    for (std::size_t number = 0; number < document_count; ++number) {
        const auto document = stored(number, 1);
        entries.m_entries.push_back(
            {"/chivevane/documents/" + document.m_name, encode_document_record(document), 1});
    }
    const store_response answer{1, store_purpose::document_read, std::move(entries)};
    reduce(self, {instant{1h}, 0, answer});
    return self;
}

/// Measures the heap of a host with 89,000 organisations and 9,000 routes in force, in megabytes.
void documents_memory(benchmark::State& state)
{
    while (state.KeepRunning()) {
        const auto before = mallinfo2().uordblks;
        const auto self = loaded_host();
        const auto used = static_cast<double>(mallinfo2().uordblks - before);
        state.counters["megabytes"] = used / 1e6;
        state.counters["bytes_per_organisation"] =
            used / static_cast<double>(self.m_configuration.m_keys.size());
    }
}
BENCHMARK(documents_memory)->Iterations(1)->Unit(benchmark::kMillisecond);

/// Measures the change of one document among many: parsing, key index and digests.
void document_change(benchmark::State& state)
{
    auto self = loaded_host();
    std::uint64_t revision = 1;
    while (state.KeepRunning()) {
        const document_fetched change{"team-7", stored(7, ++revision), nullptr};
        reduce(self, {instant{1h}, 0, change});
    }
}
BENCHMARK(document_change)->Unit(benchmark::kMicrosecond);

/// Measures the change of one document that was parsed outside the event loop.
void parsed_document_change(benchmark::State& state)
{
    auto self = loaded_host();
    auto next = stored(7, 1);
    const auto parsed_document =
        std::make_shared<const document>(value_of(parse_document(next.m_text)));
    while (state.KeepRunning()) {
        ++next.m_revision;
        reduce(self, {instant{1h}, 0, document_fetched{"team-7", next, parsed_document}});
    }
}
BENCHMARK(parsed_document_change)->Unit(benchmark::kMicrosecond);

void key_lookup(benchmark::State& state)
{
    const auto self = loaded_host();
    const auto digest = sha256_hex("organisation-500-50");
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(configuration::find_key_owner(self.m_configuration, digest));
    }
}
BENCHMARK(key_lookup);

/// Measures the parsing of a document of nearly one megabyte.
void parse_megabyte(benchmark::State& state)
{
    const auto text = document_text(1, 6400, 100);
    if (is_error(parse_document(text))) {
        state.SkipWithError("The document is refused.");
        return;
    }
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(parse_document(text));
    }
    state.counters["bytes"] = static_cast<double>(text.size());
}
BENCHMARK(parse_megabyte)->Unit(benchmark::kMillisecond);

} // namespace
