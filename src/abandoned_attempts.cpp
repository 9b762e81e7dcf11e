#include "abandoned_attempts.h"

#include <algorithm>

namespace turmericline {

AbandonedAttempts::AbandonedAttempts(std::size_t capacity)
    : m_capacity(capacity)
{
}

void AbandonedAttempts::add(const ServerIncarnation &server, const std::string &address, AbandonedAttempt attempt)
{
    makeRoom();
    auto &group = m_groups[keyOf(server)];
    group.server = server;
    group.address = address;
    const auto deadline = attempt.deadline;
    group.attempts.emplace(deadline, std::move(attempt));
    ++m_size;
}

void AbandonedAttempts::makeRoom()
{
    if (m_size < m_capacity) {
        return;
    }
    const auto largest = std::max_element(m_groups.begin(), m_groups.end(), [](const auto &a, const auto &b) {
        return a.second.attempts.size() < b.second.attempts.size();
    });
    largest->second.attempts.erase(largest->second.attempts.begin());
    --m_size;
}

std::vector<AbandonedAttempt> AbandonedAttempts::takeBefore(Groups::iterator group, TimePoint deadline)
{
    std::vector<AbandonedAttempt> taken;
    auto &attempts = group->second.attempts;
    const auto end = attempts.lower_bound(deadline);
    for (auto it = attempts.begin(); it != end; ++it) {
        taken.push_back(std::move(it->second));
    }
    attempts.erase(attempts.begin(), end);
    m_size -= taken.size();
    return taken;
}

std::vector<AbandonedAttempt> AbandonedAttempts::takeSurvived(const ServerIncarnation &server, TimePoint at)
{
    const auto group = m_groups.empty() ? m_groups.end() : m_groups.find(keyOf(server));
    if (group == m_groups.end()) {
        return {};
    }
    auto taken = takeBefore(group, at);
    if (group->second.attempts.empty()) {
        m_groups.erase(group);
    }
    return taken;
}

std::vector<AbandonedAttempt> AbandonedAttempts::takeStartedUntil(const ServerIncarnation &server, TimePoint end)
{
    const auto group = m_groups.find(keyOf(server));
    if (group == m_groups.end()) {
        return {};
    }
    std::vector<AbandonedAttempt> taken;
    std::erase_if(group->second.attempts, [&](auto &it) {
        if (it.second.startedAt > end) {
            return false;
        }
        taken.push_back(std::move(it.second));
        return true;
    });
    m_size -= taken.size();
    if (group->second.attempts.empty()) {
        m_groups.erase(group);
    }
    std::stable_sort(taken.begin(), taken.end(), [](const AbandonedAttempt &a, const AbandonedAttempt &b) {
        return a.startedAt > b.startedAt;
    });
    return taken;
}

void AbandonedAttempts::forget(const ServerIncarnation &server)
{
    const auto group = m_groups.find(keyOf(server));
    if (group != m_groups.end()) {
        m_size -= group->second.attempts.size();
        m_groups.erase(group);
    }
}

void AbandonedAttempts::expire(TimePoint time)
{
    for (auto it = m_groups.begin(); it != m_groups.end();) {
        takeBefore(it, time);
        it = it->second.attempts.empty() ? m_groups.erase(it) : std::next(it);
    }
}

bool AbandonedAttempts::contains(const ServerIncarnation &server) const
{
    return !m_groups.empty() && m_groups.contains(keyOf(server));
}

std::optional<std::string> AbandonedAttempts::addressOf(const ServerIncarnation &server) const
{
    const auto group = m_groups.find(keyOf(server));
    return group == m_groups.end() ? std::nullopt : std::optional(group->second.address);
}

std::string AbandonedAttempts::domainOf(const ServerIncarnation &server) const
{
    const auto group = m_groups.find(keyOf(server));
    return group == m_groups.end() ? std::string() : group->second.server.domain;
}

std::vector<const ServerIncarnation *> AbandonedAttempts::servers() const
{
    std::vector<const ServerIncarnation *> servers;
    servers.reserve(m_groups.size());
    for (const auto &[key, group] : m_groups) {
        servers.push_back(&group.server);
    }
    return servers;
}

bool AbandonedAttempts::setWithdrawn(const ServerIncarnation &server)
{
    const auto group = m_groups.find(keyOf(server));
    return group != m_groups.end() && !std::exchange(group->second.isWithdrawn, true);
}

bool AbandonedAttempts::isWithdrawn(const ServerIncarnation &server) const
{
    const auto group = m_groups.find(keyOf(server));
    return group != m_groups.end() && group->second.isWithdrawn;
}

} // namespace turmericline
