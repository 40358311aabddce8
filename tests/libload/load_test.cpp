#include "libload/exact_bucket.h"
#include "libload/load_report.h"
#include "libload/load_stream.h"

#include <boost/test/unit_test.hpp>

using namespace chivevane;

BOOST_AUTO_TEST_SUITE(load)

BOOST_AUTO_TEST_CASE(the_exact_bucket_grants_burst_and_rate)
{
    instant now{1h};
    exact_bucket bucket{10, 5, 5, now};
    int taken = 0;
    while (take_exact_token(bucket, now)) {
        ++taken;
    }
    BOOST_TEST(taken == 5);
    BOOST_TEST(!take_exact_token(bucket, now + 90ms));
    BOOST_TEST(take_exact_token(bucket, now + 110ms));
}

BOOST_AUTO_TEST_CASE(quantiles_are_accurate_to_one_bin)
{
    auto histogram = make_latency_histogram();
    for (int milliseconds = 1; milliseconds <= 1000; ++milliseconds) {
        add_latency(histogram, std::chrono::milliseconds{milliseconds});
    }
    for (const double fraction : {0.5, 0.9, 0.99}) {
        BOOST_TEST(latency_quantile(histogram, fraction) >= fraction * 1000);
        BOOST_TEST(latency_quantile(histogram, fraction) <= fraction * 1000 * 1.06);
    }
}

BOOST_AUTO_TEST_CASE(samples_are_counted_by_status_and_rate)
{
    stream_report report{"parish"};
    add_sample(report, {{}, 5ms, 200, true, {}});
    add_sample(report, {{}, 5ms, 429, true, {}});
    add_sample(report, {{}, 5ms, 429, false, {}});
    add_sample(report, {{}, 5ms, 200, false, {}});
    add_sample(report, {{}, 5ms, 503, true, {}});
    add_sample(report, {{}, 5ms, 0, true, {}});
    const auto line = to_line(report);
    BOOST_TEST(line.starts_with("event=stream name=parish sent=6 succeeded=2 rate_refused=2 "
                                "refused_inside_rate=1 started_outside_rate=1 unavailable=1 "
                                "failed=1 "));
}

BOOST_AUTO_TEST_CASE(a_plan_off_loopback_or_beyond_the_limits_is_rejected)
{
    const std::string streams = "seconds: 1\nstreams: [{name: a, path: /, rate: 1}]\n";
    BOOST_TEST(is_error(parse_load_plan("targets: ['10.0.0.1:80']\n" + streams)));
    BOOST_TEST(!is_error(parse_load_plan("targets: ['127.0.0.1:80']\n" + streams)));
    BOOST_TEST(is_error(parse_load_plan("targets: ['127.0.0.1:80']\nseconds: 5000\nstreams: []")));
}

BOOST_AUTO_TEST_SUITE_END()
