#include "latency_stats.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace turmericline {

namespace {

// Each power of two is divided into 128 linear buckets, which bounds the relative error by 1/128.
constexpr unsigned subBucketBits = 7;
constexpr std::uint64_t subBuckets = 1U << subBucketBits;

std::size_t bucketOf(std::uint64_t n)
{
    if (n < subBuckets) {
        return n;
    }
    const unsigned shift = std::bit_width(n) - 1 - subBucketBits;
    return (shift + 1) * subBuckets + ((n >> shift) - subBuckets);
}

/** Largest value that falls into @p bucket. */
std::uint64_t upperBound(std::size_t bucket)
{
    if (bucket < subBuckets) {
        return bucket;
    }
    const unsigned shift = bucket / subBuckets - 1;
    const std::uint64_t base = subBuckets + bucket % subBuckets;
    return ((base + 1) << shift) - 1;
}

} // namespace

void LatencyStats::record(std::chrono::nanoseconds latency)
{
    const auto n = static_cast<std::uint64_t>(std::max<std::int64_t>(latency.count(), 0));
    const auto bucket = bucketOf(n);
    if (bucket >= m_buckets.size()) {
        m_buckets.resize(bucket + 1);
    }
    ++m_buckets[bucket];
    ++m_count;
    m_max = std::max(m_max, n);
}

void LatencyStats::merge(const LatencyStats &other)
{
    m_buckets.resize(std::max(m_buckets.size(), other.m_buckets.size()));
    for (std::size_t i = 0; i < other.m_buckets.size(); ++i) {
        m_buckets[i] += other.m_buckets[i];
    }
    m_count += other.m_count;
    m_max = std::max(m_max, other.m_max);
}

std::uint64_t LatencyStats::count() const
{
    return m_count;
}

std::chrono::nanoseconds LatencyStats::max() const
{
    return std::chrono::nanoseconds(m_max);
}

std::chrono::nanoseconds LatencyStats::percentile(double share) const
{
    const auto rank = static_cast<std::uint64_t>(std::ceil(std::clamp(share, 0.0, 1.0) * static_cast<double>(m_count)));
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < m_buckets.size(); ++i) {
        seen += m_buckets[i];
        if (seen >= rank && seen > 0) {
            return std::chrono::nanoseconds(std::min(upperBound(i), m_max));
        }
    }
    return {};
}

} // namespace turmericline
