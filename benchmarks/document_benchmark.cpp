// Measures time and memory of documents at the fleet's target size.

#include "libbase/digest.h"
#include "libdocument/edit_document.h"
#include "libdocument/format_document.h"
#include "libdocument/match_route.h"
#include "libdocument/parse_document.h"
#include "libdocument/yaml_tree.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>
#include <malloc.h>

namespace {

using namespace chivevane;

constexpr std::size_t organisation_count = 89'000;
constexpr std::size_t route_count = 9'000;
constexpr std::size_t document_count = 16; // Each document has about 0.9 MB.

/// Makes document number `number` with the given numbers of organisations and routes.
document make_document(std::size_t number, std::size_t organisations, std::size_t routes)
{
    document sample_document;
    sample_document.m_name = fmt::format("team-{}", number);
    for (std::size_t index = 0; index < organisations; ++index) {
        const auto name = fmt::format("organisation-{}-{}", number, index);
        sample_document.m_organisations.push_back({name, 5, 10, {{"first", sha256_hex(name)}}});
    }
    sample_document.m_services.push_back({fmt::format("service-{}", number), 0.5});
    for (std::size_t index = 0; index < routes; ++index) {
        route entry;
        entry.m_name = fmt::format("route-{}", index);
        entry.m_path_prefix = fmt::format("/team-{}/route-{}", number, index);
        entry.m_service = sample_document.m_services.front().m_name;
        sample_document.m_routes.push_back(std::move(entry));
    }
    return sample_document;
}

std::string megabyte_text()
{
    return format_document(make_document(0, 5'700, 300));
}

/// Returns the number of heap bytes in use.
std::size_t heap_bytes()
{
    const auto heap = mallinfo2();
    return heap.uordblks + heap.hblkhd;
}

void parse_a_megabyte(benchmark::State& state)
{
    const auto text = megabyte_text();
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(std::get<document>(parse_document(text)));
    }
    state.counters["bytes"] = static_cast<double>(text.size());
}
BENCHMARK(parse_a_megabyte)->Unit(benchmark::kMillisecond);

/// Measures the part of the parsing that reads the YAML into a tree.
void read_the_tree_of_a_megabyte(benchmark::State& state)
{
    const auto text = megabyte_text();
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(std::get<yaml_node>(parse_yaml(text)));
    }
}
BENCHMARK(read_the_tree_of_a_megabyte)->Unit(benchmark::kMillisecond);

void add_a_key_to_a_megabyte(benchmark::State& state)
{
    const auto text = megabyte_text();
    const api_key key{"second", sha256_hex("second")};
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(
            std::get<edited_document>(add_key(text, "organisation-0-5000", key)));
    }
}
BENCHMARK(add_a_key_to_a_megabyte)->Unit(benchmark::kMillisecond);

/// Measures the match of the last route in a document of `state.range(0)` routes.
void match_a_route(benchmark::State& state)
{
    const auto count = static_cast<std::size_t>(state.range(0));
    const auto sample_document = make_document(0, 0, count);
    const auto path = sample_document.m_routes.back().m_path_prefix + "/page";
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(match_route(sample_document, "host.example", "GET", path));
    }
}
BENCHMARK(match_a_route)->Arg(10)->Arg(100)->Arg(1'000)->Arg(9'000);

/// Measures the memory of all documents of the fleet in one process, as text and parsed.
void hold_all_documents(benchmark::State& state)
{
    while (state.KeepRunning()) {
        std::vector<std::string> texts;
        std::vector<document> parsed;
        texts.reserve(document_count);
        const auto before = heap_bytes();
        for (std::size_t number = 0; number < document_count; ++number) {
            texts.push_back(format_document(make_document(
                number, organisation_count / document_count, route_count / document_count)));
        }
        parsed.reserve(document_count);
        const auto with_texts = heap_bytes();
        for (const auto& text : texts) {
            parsed.push_back(std::get<document>(parse_document(text)));
        }
        const auto with_rules = heap_bytes();
        state.counters["text_bytes"] = static_cast<double>(with_texts - before);
        state.counters["rules_bytes"] = static_cast<double>(with_rules - with_texts);
        benchmark::DoNotOptimize(parsed);
    }
}
BENCHMARK(hold_all_documents)->Iterations(1)->Unit(benchmark::kMillisecond);

} // namespace
