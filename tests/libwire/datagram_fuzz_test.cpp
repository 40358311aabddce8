#include "libbase/digest.h"
#include "libwire/datagram.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <new>
#include <rapidcheck.h>

using namespace chivevane;

namespace {

constexpr std::string_view secret = "secret";

/// The bytes of `body` as a datagram whose signature is valid, whatever the body holds.
std::string sign(std::string body)
{
    const auto tag = hmac_sha256(secret, body);
    return body.append(reinterpret_cast<const char*>(tag.data()), tag.size());
}

rc::Gen<std::string> bytes_of(std::size_t longest)
{
    return rc::gen::mapcat(rc::gen::inRange<std::size_t>(0, longest), [](std::size_t size) {
        return rc::gen::container<std::string>(size, rc::gen::arbitrary<char>());
    });
}

std::string name()
{
    return *rc::gen::resize(20, rc::gen::arbitrary<std::string>());
}

std::uint32_t number()
{
    return *rc::gen::arbitrary<std::uint32_t>();
}

host_address address()
{
    return {name(), 1, 2, 3, static_cast<std::uint16_t>(number())};
}

heartbeat account()
{
    heartbeat news{{name(), number()}, name(), address()};
    for (auto count = *rc::gen::inRange(0, 6); count > 0; --count) {
        news.m_upstreams.push_back({name(), name(), number(), number(), number()});
    }
    news.m_version = number();
    return news;
}

message any_message()
{
    const attempt_id attempt{{name(), number()}, number(), number()};
    switch (*rc::gen::inRange(0, 9)) {
    case 0:
        return account();
    case 1:
        return document_revisions{{{name(), number(), number()}, {name(), number()}}, number()};
    case 2:
        return loan_request{number(), name(), number(), number(), 1.5, 2.5};
    case 3:
        return void_response{attempt, number(), attempt_fate::may_run};
    case 4:
        return crash_report{number(), name(), crash_evidence::withdrawn};
    case 5:
        return health_report{number(), {{{name(), name()}, name(), name(), number()}}};
    case 6:
        return gossip{address(), {{number(), number(), number()}, {number()}}};
    case 7:
        return account_request{address(), {number(), number()}};
    default:
        return document_question{address(), number()};
    }
}

datagram any_datagram()
{
    return {{name(), number()}, number(), {number(), number()}, any_message()};
}

/// Largest allocation since the last reset; decoding must stay within a bound of it.
std::size_t largest_allocation = 0;

} // namespace

// Not inlined, since the compiler would take free for the wrong counterpart of new.
[[gnu::noinline]] void* operator new(std::size_t size)
{
    largest_allocation = std::max(largest_allocation, size);
    if (void* const block = std::malloc(size == 0 ? 1 : size)) {
        return block;
    }
    throw std::bad_alloc{};
}

[[gnu::noinline]] void operator delete(void* block) noexcept
{
    std::free(block);
}

[[gnu::noinline]] void operator delete(void* block, std::size_t) noexcept
{
    std::free(block);
}

BOOST_AUTO_TEST_SUITE(datagram_fuzz)

namespace {

// A list may have one element for each byte; no element's type is larger than this.
constexpr std::size_t allocation_bound = max_datagram_size * 256;

void decode_within_bounds(const std::string& bytes)
{
    largest_allocation = 0;
    const auto outcome = decode_datagram(bytes, secret);
    RC_ASSERT(largest_allocation <= allocation_bound);
    if (is_error(outcome)) {
        RC_ASSERT(error_of(outcome).m_kind == error_kind::malformed);
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(any_message_survives_the_way)
{
    BOOST_TEST(rc::check("round trip", [] {
        const auto packet = any_datagram();
        const auto bytes = encode_datagram(packet, secret);
        RC_PRE(!is_error(bytes));
        const auto back = decode_datagram(value_of(bytes), secret);
        RC_ASSERT(!is_error(back));
        RC_ASSERT(value_of(back) == packet);
    }));
}

BOOST_AUTO_TEST_CASE(signed_noise_is_dropped_within_memory_bounds)
{
    BOOST_TEST(rc::check("noise", [] {
        auto body = *bytes_of(max_datagram_size - 32);
        body.insert(body.begin(), static_cast<char>(datagram_version));
        decode_within_bounds(sign(std::move(body)));
    }));
}

BOOST_AUTO_TEST_CASE(signed_mutations_are_decoded_within_memory_bounds)
{
    BOOST_TEST(rc::check("mutations", [] {
        const auto bytes = encode_datagram(any_datagram(), secret);
        RC_PRE(!is_error(bytes));
        auto body = value_of(bytes).substr(0, value_of(bytes).size() - 32);
        for (auto changes = *rc::gen::inRange(1, 6); changes > 0; --changes) {
            const auto place = *rc::gen::inRange<std::size_t>(1, body.size());
            // Bytes of 0xff turn lengths into the largest ones.
            body[place] = *rc::gen::element('\xff', '\0', *rc::gen::arbitrary<char>());
        }
        body.resize(*rc::gen::inRange<std::size_t>(1, body.size() + 1));
        decode_within_bounds(sign(std::move(body)));
    }));
}

BOOST_AUTO_TEST_CASE(a_list_longer_than_the_datagram_is_refused_unallocated)
{
    auto bytes = value_of(encode_datagram({{"a", 1}, 0, {}, account_request{{}, {1}}}, secret));
    auto body = bytes.substr(0, bytes.size() - 32);
    const auto length_at = body.size() - sizeof(std::uint64_t) - 2;
    body[length_at] = '\xff';
    body[length_at + 1] = '\xff';
    const auto forged = sign(std::move(body));
    largest_allocation = 0;
    BOOST_TEST(is_error(decode_datagram(forged, secret)));
    BOOST_TEST(largest_allocation < 4096);
}

BOOST_AUTO_TEST_CASE(bytes_after_the_message_are_refused)
{
    const auto bytes = value_of(encode_datagram({{"a", 1}, 0, {}, probe_ack{7}}, secret));
    BOOST_TEST(is_error(decode_datagram(sign(bytes.substr(0, bytes.size() - 32) + '\0'), secret)));
}

BOOST_AUTO_TEST_SUITE_END()
