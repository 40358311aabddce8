#include "libdocument/document_samples.h"

#include "libbase/digest.h"

#include <fmt/format.h>

namespace chivevane::test {

namespace {

document make_document(std::uint32_t seed)
{
    const auto pick = [&seed](std::uint32_t count) {
        seed = seed * 1664525 + 1013904223;
        return (seed >> 16) % count;
    };
    document sample_document;
    sample_document.m_name = fmt::format("team-{}", pick(3));
    for (std::uint32_t owner = 0, count = pick(4); owner < count; ++owner) {
        organisation made{
            fmt::format("{}.org_{}", pick(9), owner), pick(1000) / 7.0, 1 + pick(100) / 3.0, {}};
        for (std::uint32_t key = 0, keys = pick(4); key < keys; ++key) {
            const auto secret = fmt::format("{} {}", owner, key);
            made.m_keys.push_back({fmt::format("{}", key), sha256_hex(secret)});
        }
        sample_document.m_organisations.push_back(std::move(made));
    }
    const std::vector<std::string> service_names{"tides", "null", "7.0", "true"};
    for (std::uint32_t service = 0; service < 1 + pick(4); ++service) {
        sample_document.m_services.push_back({service_names[service], pick(101) / 100.0});
    }
    for (std::uint32_t entry = 0, count = pick(5); entry < count; ++entry) {
        route made;
        made.m_name = fmt::format("route-{}", entry);
        made.m_host = pick(2) == 0 ? "" : "tides.example:8080";
        made.m_path_prefix = fmt::format("/{}/a:{{b}}, \"c\\", entry).substr(0, 3 + pick(9));
        made.m_path_prefix.erase(made.m_path_prefix.find_last_not_of(" ,") + 1);
        std::erase(made.m_path_prefix, ' ');
        made.m_methods =
            pick(2) == 0 ? std::vector<std::string>{} : std::vector<std::string>{"GET", "M-SEARCH"};
        made.m_service = sample_document.m_services[pick(sample_document.m_services.size())].m_name;
        made.m_access = pick(2) == 0 ? route_access::keyed : route_access::open_to_all;
        made.m_timeout = std::chrono::milliseconds{1 + pick(60'000)};
        made.m_attempts = 1 + pick(10);
        made.m_hedging = pick(2) == 0 ? hedging::off : hedging::on;
        sample_document.m_routes.push_back(std::move(made));
    }
    for (std::uint32_t centre = 0, count = pick(3); centre < count; ++centre) {
        sample_document.m_datacentres_out.push_back(fmt::format("dc{}", centre));
    }
    return sample_document;
}

} // namespace

std::string commented_document()
{
    return fmt::format(R"(# Rules of the marshes.
document: blackmorass
organisations:
  - name: parish   # the office at the dike
    rate: 10
    burst: 20.5
    keys:
      # handed out in spring
      - {{name: first, digest: {}}}
      - name: second
        digest: {}  # of the second office
  - {{name: rangers, rate: 2, burst: 4}}
  # Has no key yet.
  - name: ferry
    rate: 1
    burst: 1
  - {{name: mill, rate: 1, burst: 1, keys: [{{name: a, digest: {}}}, {{name: b, digest: {}}}]}}
services:
  - {{name: tides, floor: 0.5}}
  - name: permits
routes:
  - {{name: notes, path_prefix: /tides, service: tides, open_to_all: true}}  # for all
  - name: permits
    host: permits.example
    path_prefix: /permits
    methods: [GET, POST]
    service: permits
    timeout_ms: 2000
    attempts: 2
    hedging: true
datacentres_out: [marsh, "dike"]  # until Monday
)",
                       sha256_hex("1"), sha256_hex("2"), sha256_hex("3"), sha256_hex("4"));
}

rc::Gen<document> any_document()
{
    return rc::gen::map(rc::gen::arbitrary<std::uint32_t>(), make_document);
}

} // namespace chivevane::test
