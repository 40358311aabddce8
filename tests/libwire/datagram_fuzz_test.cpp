#include "libbase/digest.h"
#include "libwire/datagram.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <new>
#include <rapidcheck.h>

using namespace chivevane;

namespace {

constexpr std::string_view secret = "secret";

/// Appends a valid HMAC to `body`, so that decoding gets past the signature check.
std::string sign(std::string body)
{
    const auto tag = hmac_sha256(secret, body);
    return body.append(reinterpret_cast<const char*>(tag.data()), tag.size());
}

rc::Gen<std::string> random_bytes(std::size_t size_limit)
{
    return rc::gen::mapcat(rc::gen::inRange<std::size_t>(0, size_limit), [](std::size_t size) {
        return rc::gen::container<std::string>(size, rc::gen::arbitrary<char>());
    });
}

std::string random_name()
{
    return *rc::gen::resize(20, rc::gen::arbitrary<std::string>());
}

std::uint32_t random_number()
{
    return *rc::gen::arbitrary<std::uint32_t>();
}

host_address random_address()
{
    return {random_name(), 1, 2, 3, static_cast<std::uint16_t>(random_number())};
}

host_record random_host_record()
{
    host_record record{{random_name(), random_number()}, random_name(), random_address()};
    for (auto count = *rc::gen::inRange(0, 6); count > 0; --count) {
        record.m_upstreams.push_back(
            {random_name(), random_name(), random_number(), random_number(), random_number()});
    }
    record.m_version = random_number();
    return record;
}

message random_message()
{
    const attempt_id attempt{{random_name(), random_number()}, random_number(), random_number()};
    switch (*rc::gen::inRange(0, 13)) {
    case 0:
        return random_host_record();
    case 1:
        return document_revisions{
            {{random_name(), random_number(), random_number()}, {random_name(), random_number()}},
            random_number()};
    case 2:
        return loan_request{random_number(), random_name(), random_number(),
                            random_number(), 1.5,           2.5};
    case 3:
        return cancel_attempt_response{attempt, random_number(), execution_status::may_have_run};
    case 4:
        return crash_report{random_number(), random_name(), crash_evidence::withdrawn};
    case 5:
        return health_report{
            random_number(),
            {{{random_name(), random_name()}, random_name(), random_name(), random_number()}}};
    case 6:
        return gossip{random_address(),
                      {{random_number(), random_number(), random_number()}, {random_number()}}};
    case 7:
        return host_record_request{random_address(), {random_number(), random_number()}};
    case 8:
        return recovery_request{random_address()};
    case 9:
        return recovery_response{1,
                                 2,
                                 true,
                                 {{{random_name(), random_name()}, random_number()}},
                                 {{random_number(), {random_name()}, random_number()}}};
    case 10:
        return contact_request{random_address()};
    case 11:
        return contact_response{};
    default:
        return document_revisions_request{random_address(), random_number()};
    }
}

datagram random_datagram()
{
    return {{random_name(), random_number()},
            random_number(),
            {random_number(), random_number()},
            random_message()};
}

/// Size of the largest allocation since the last reset in bytes. Decoding a datagram must not
/// allocate more than a fixed bound at once.
std::size_t largest_allocation = 0;

} // namespace

// These operators are not inlined, since the compiler would otherwise warn that memory obtained by
// new is released by free.
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

// Maximum size of one allocation in bytes. A list has at most one element for each byte of the
// datagram, and no element type is larger than 256 bytes.
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

BOOST_AUTO_TEST_CASE(any_message_survives_a_round_trip)
{
    BOOST_TEST(rc::check("round trip", [] {
        const auto packet = random_datagram();
        const auto bytes = encode_datagram(packet, secret);
        RC_PRE(!is_error(bytes));
        const auto decoded = decode_datagram(value_of(bytes), secret);
        RC_ASSERT(!is_error(decoded));
        RC_ASSERT(value_of(decoded) == packet);
    }));
}

BOOST_AUTO_TEST_CASE(signed_random_bytes_are_decoded_within_memory_bounds)
{
    BOOST_TEST(rc::check("noise", [] {
        auto body = *random_bytes(max_datagram_size - 32);
        body.insert(body.begin(), static_cast<char>(datagram_version));
        decode_within_bounds(sign(std::move(body)));
    }));
}

BOOST_AUTO_TEST_CASE(signed_mutations_are_decoded_within_memory_bounds)
{
    BOOST_TEST(rc::check("mutations", [] {
        const auto bytes = encode_datagram(random_datagram(), secret);
        RC_PRE(!is_error(bytes));
        auto body = value_of(bytes).substr(0, value_of(bytes).size() - 32);
        for (auto changes = *rc::gen::inRange(1, 6); changes > 0; --changes) {
            const auto position = *rc::gen::inRange<std::size_t>(1, body.size());
            // Bytes of 0xff turn length prefixes into their maximum.
            body[position] = *rc::gen::element('\xff', '\0', *rc::gen::arbitrary<char>());
        }
        body.resize(*rc::gen::inRange<std::size_t>(1, body.size() + 1));
        decode_within_bounds(sign(std::move(body)));
    }));
}

BOOST_AUTO_TEST_CASE(a_list_length_beyond_the_datagram_is_refused_before_allocation)
{
    auto bytes = value_of(encode_datagram({{"a", 1}, 0, {}, host_record_request{{}, {1}}}, secret));
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
