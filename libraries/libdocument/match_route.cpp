#include "libdocument/match_route.h"

#include <algorithm>

namespace chivevane {

namespace {

bool has_prefix(std::string_view path, std::string_view prefix)
{
    if (!path.starts_with(prefix)) {
        return false;
    }
    return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/';
}

bool matches(const route& candidate, std::string_view host, std::string_view method,
             std::string_view path)
{
    const auto& methods = candidate.m_methods;
    const bool is_method_match =
        methods.empty() || std::find(methods.begin(), methods.end(), method) != methods.end();
    const bool is_host_match = candidate.m_host.empty() || candidate.m_host == host;
    return is_method_match && is_host_match && has_prefix(path, candidate.m_path_prefix);
}

bool is_more_specific(const route& left, const route& right)
{
    if (left.m_host.empty() != right.m_host.empty()) {
        return !left.m_host.empty();
    }
    return left.m_path_prefix.size() > right.m_path_prefix.size();
}

} // namespace

const route* match_route(const document& parsed_document, std::string_view host,
                         std::string_view method, std::string_view path)
{
    const route* best = nullptr;
    for (const auto& candidate : parsed_document.m_routes) {
        if (matches(candidate, host, method, path) &&
            (best == nullptr || is_more_specific(candidate, *best))) {
            best = &candidate;
        }
    }
    return best;
}

} // namespace chivevane
