#include "jujubereach/dispatch/credits.h"

#include "jujubereach/base/random.h"

#include <algorithm>

namespace jujubereach::dispatch {

namespace {

    constexpr std::uint32_t reservePart = 10; // one in so many of the own credits is never lent

} // namespace

std::uint32_t creditShare(
    const UpstreamId& upstream, std::uint32_t slots, const std::vector<HostId>& hosts, const HostId& self)
{
    auto count = static_cast<std::uint32_t>(hosts.size());
    if (std::find(hosts.begin(), hosts.end(), self) == hosts.end())
        return 0;
    // The remainder goes to other hosts on each upstream.
    auto place
        = [&](const HostId& host) { return std::pair(stableHash(upstream.str() + "/" + host.str()), host); };
    auto before = [&](const HostId& host) { return place(host) < place(self); };
    auto rank = static_cast<std::uint32_t>(std::count_if(hosts.begin(), hosts.end(), before));
    return slots / count + (rank < slots % count ? 1 : 0);
}

std::uint32_t CreditBook::Loan::granted(TimePoint now) const
{
    std::uint32_t most = 0;
    for (const Grant& grant : grants) {
        if (now < grant.until)
            most = std::max(most, grant.count);
    }
    return most;
}

void CreditBook::Loan::prune(TimePoint now)
{
    std::erase_if(grants, [now](const Grant& grant) { return now >= grant.until; });
}

void CreditBook::setPeers(std::vector<HostId> hosts, HostId self, Incarnation incarnation)
{
    m_hosts = std::move(hosts);
    m_self = std::move(self);
    m_incarnation = incarnation;
    if (!isPeer(m_self))
        m_hosts.push_back(m_self);
    std::sort(m_hosts.begin(), m_hosts.end());
    std::erase_if(m_heard, [this](const auto& item) { return !isPeer(item.first); });
    m_sharing = m_hosts;
    shareAll();
    for (auto& [id, book] : m_books) {
        std::erase_if(book.lentTo, [this](const auto& item) { return !isPeer(item.first); });
        std::erase_if(book.borrowedFrom,
            [this](const auto& item) { return !isPeer(item.first) && item.second.used == 0; });
        for (auto& [lender, loan] : book.borrowedFrom) {
            if (!isPeer(lender))
                loan.grants.clear();
        }
    }
}

void CreditBook::peerLost(const HostId& host, TimePoint now)
{
    m_heard[host] = now - creditSilence;
    noteSilence(now);
}

void CreditBook::setSlots(const UpstreamId& upstream, std::uint32_t slots)
{
    Book& book = m_books[upstream];
    book.slots = slots;
    share(upstream, book);
}

void CreditBook::share(const UpstreamId& upstream, Book& book) const
{
    book.share = m_sharing.empty() ? book.slots : creditShare(upstream, book.slots, m_sharing, m_self);
}

void CreditBook::shareAll()
{
    for (auto& [id, book] : m_books)
        share(id, book);
}

// Splits the slots anew when a peer falls silent or is heard again. A host that hears nobody of several
// peers is more likely cut off than alone, and keeps its part.
void CreditBook::noteSilence(TimePoint now)
{
    std::vector<HostId> sharing;
    for (const HostId& host : m_hosts) {
        TimePoint heard = host == m_self ? now : m_heard.try_emplace(host, now).first->second;
        if (now - heard < creditSilence)
            sharing.push_back(host);
    }
    if (sharing.size() == 1 && m_hosts.size() > 2)
        sharing = m_hosts;
    if (sharing == m_sharing)
        return;
    m_sharing = std::move(sharing);
    shareAll();
}

void CreditBook::remove(const UpstreamId& upstream)
{
    m_books.erase(upstream);
}

bool CreditBook::isPeer(const HostId& host) const
{
    return std::find(m_hosts.begin(), m_hosts.end(), host) != m_hosts.end();
}

std::uint32_t CreditBook::lentOut(const Book& book, TimePoint now) const
{
    std::uint32_t sum = 0;
    for (const auto& [borrower, loan] : book.lentTo)
        sum += std::max(loan.granted(now), loan.used);
    return sum;
}

std::uint32_t CreditBook::ownIdle(const Book& book, TimePoint now) const
{
    std::uint32_t taken = lentOut(book, now) + book.ownUsed;
    return taken < book.share ? book.share - taken : 0;
}

std::uint32_t CreditBook::usable(const UpstreamId& upstream, TimePoint now) const
{
    auto found = m_books.find(upstream);
    if (found == m_books.end())
        return 0;
    const Book& book = found->second;
    std::uint32_t sum = book.ownUsed + ownIdle(book, now);
    for (const auto& [lender, loan] : book.borrowedFrom)
        sum += std::max(loan.granted(now), loan.used);
    return sum;
}

std::uint32_t CreditBook::idle(const UpstreamId& upstream, TimePoint now) const
{
    auto found = m_books.find(upstream);
    if (found == m_books.end())
        return 0;
    std::uint32_t sum = ownIdle(found->second, now);
    for (const auto& [lender, loan] : found->second.borrowedFrom)
        sum += std::max(loan.granted(now), loan.used) - loan.used;
    return sum;
}

CreditSource CreditBook::take(const UpstreamId& upstream, TimePoint now)
{
    Book& book = m_books.at(upstream);
    // Lent credits first: they lapse.
    for (auto& [lender, loan] : book.borrowedFrom) {
        if (loan.used < loan.granted(now)) {
            ++loan.used;
            return lender;
        }
    }
    ++book.ownUsed;
    return std::nullopt;
}

void CreditBook::giveBack(const UpstreamId& upstream, const CreditSource& source)
{
    auto found = m_books.find(upstream);
    if (found == m_books.end())
        return;
    Book& book = found->second;
    if (!source) {
        book.ownUsed -= std::min(book.ownUsed, 1U);
        return;
    }
    auto loan = book.borrowedFrom.find(*source);
    if (loan != book.borrowedFrom.end())
        loan->second.used -= std::min(loan->second.used, 1U);
}

CreditReport CreditBook::report(std::uint32_t wanted, TimePoint now)
{
    m_wanted = wanted;
    noteSilence(now);
    CreditReport report { m_self, m_incarnation, wanted, {} };
    for (auto& [id, book] : m_books) {
        for (auto& [lender, loan] : book.borrowedFrom) {
            loan.prune(now);
            if (loan.used > 0)
                report.held.push_back({ lender, id, loan.used });
        }
    }
    return report;
}

void CreditBook::noteHeld(const CreditReport& report, TimePoint now)
{
    m_incarnations[report.host] = report.incarnation;
    m_heard[report.host] = now;
    for (auto& [id, book] : m_books) {
        auto loan = book.lentTo.find(report.host);
        if (loan == book.lentTo.end())
            continue;
        loan->second.prune(now);
        loan->second.used = 0;
        for (const auto& held : report.held) {
            if (held.lender == m_self && held.upstream == id)
                loan->second.used = held.count;
        }
    }
}

std::optional<CreditGrant> CreditBook::onReport(
    const CreditReport& report, const std::vector<UpstreamId>& healthy, TimePoint now)
{
    auto known = m_incarnations.find(report.host);
    if (known != m_incarnations.end() && report.incarnation < known->second)
        return std::nullopt; // of an earlier start of that host
    if (report.host == m_self || !isPeer(report.host))
        return std::nullopt;
    noteHeld(report, now);
    if (report.wanted == 0 || m_wanted > 0)
        return std::nullopt;
    return lend(report, healthy, now);
}

// Lends half of what is idle beyond a reserve for requests that arrive here next, from the upstreams
// with most idle credits first. Loans in use are renewed in the same grant.
std::optional<CreditGrant> CreditBook::lend(
    const CreditReport& report, const std::vector<UpstreamId>& healthy, TimePoint now)
{
    std::vector<std::pair<std::uint32_t, UpstreamId>> byIdle;
    std::uint32_t idle = 0;
    std::uint32_t shares = 0;
    for (const UpstreamId& id : healthy) {
        auto found = m_books.find(id);
        if (found == m_books.end())
            continue;
        byIdle.emplace_back(ownIdle(found->second, now), id);
        idle += byIdle.back().first;
        shares += found->second.share;
    }
    std::sort(byIdle.rbegin(), byIdle.rend());
    std::uint32_t reserve = std::max(1U, shares / reservePart);
    std::uint32_t left = idle <= reserve ? 0 : std::min(report.wanted, (idle - reserve + 1) / 2);

    CreditGrant grant { m_self, report.host, creditTerm, {} };
    auto each = left / std::max<std::uint32_t>(1, static_cast<std::uint32_t>(byIdle.size())) + 1;
    for (const auto& [idleHere, id] : byIdle) {
        Loan& loan = m_books.at(id).lentTo[report.host];
        std::uint32_t more = std::min({ left, each, idleHere });
        std::uint32_t count = std::max(loan.used, loan.granted(now)) + more;
        left -= more;
        if (count == 0)
            continue;
        loan.grants.push_back({ count, now + creditTerm + creditMargin });
        grant.lent.push_back({ id, count });
    }
    if (grant.lent.empty())
        return std::nullopt;
    return grant;
}

void CreditBook::onGrant(const CreditGrant& grant, TimePoint now)
{
    if (grant.borrower != m_self || !isPeer(grant.lender))
        return;
    for (const auto& lent : grant.lent) {
        auto found = m_books.find(lent.upstream);
        if (found == m_books.end())
            continue;
        Loan& loan = found->second.borrowedFrom[grant.lender];
        loan.prune(now);
        loan.grants.push_back({ lent.count, now + grant.term });
    }
}

} // namespace jujubereach::dispatch
