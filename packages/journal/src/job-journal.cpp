// Applies records to a domain's journal. The encoding is in job-journal-codec.cpp.
#include "jujubereach/journal/job-journal.h"

#include <algorithm>
#include <utility>

namespace jujubereach::journal {

namespace {

    constexpr std::size_t entryOverhead = 160; ///< Bytes of an entry's JSON names and punctuation.

    std::size_t bytesOf(const JobId& id, const JournalEntry& entry)
    {
        std::size_t bytes = entryOverhead + id.str().size() + entry.key.size() + entry.claim.size();
        bytes += entry.spec.size() + static_cast<std::size_t>(std::ranges::count(entry.spec, '"'));
        if (entry.end)
            bytes += entry.end->text.size() + entry.end->reason.size();
        return bytes;
    }

    std::size_t bytesOf(const JobJournal& journal)
    {
        std::size_t bytes = 0;
        for (const auto& [id, entry] : journal.jobs)
            bytes += bytesOf(id, entry);
        return bytes;
    }

    void dropEndsBefore(JobJournal& journal, std::int64_t time)
    {
        std::erase_if(journal.jobs,
            [&](const auto& entry) { return entry.second.end && entry.second.end->at.milliseconds < time; });
    }

    /// Evicts ended jobs past their minimum retention, oldest first, until `bytes` more fit. Returns false if
    /// they do not fit.
    bool evictOldEnds(JobJournal& journal, std::size_t bytes, WallTime now, const JournalLimits& limits)
    {
        std::size_t used = bytesOf(journal) + bytes;
        if (used <= limits.maxBytes)
            return true;
        std::vector<std::pair<std::int64_t, JobId>> ends;
        for (const auto& [id, entry] : journal.jobs) {
            if (entry.end && entry.end->at.milliseconds < now.milliseconds - limits.minEndRetention.count())
                ends.emplace_back(entry.end->at.milliseconds, id);
        }
        std::ranges::sort(ends);
        for (const auto& [at, id] : ends) {
            if (used <= limits.maxBytes)
                return true;
            used -= bytesOf(id, journal.jobs.at(id));
            journal.jobs.erase(id);
        }
        return used <= limits.maxBytes;
    }

    bool isStale(const JobJournal& journal, const JobRecord& record)
    {
        return !record.copied && record.term < journal.term;
    }

    std::string applyAccept(JobJournal& journal, const JobRecord& record, const JournalLimits& limits)
    {
        if (journal.jobs.contains(record.job))
            return {};
        if (auto known = journal.findKey(record.key))
            return "duplicate key of " + known->str();
        if (isStale(journal, record))
            return "the domain has a newer owner";
        if (record.spec.size() > limits.maxSpecBytes)
            return "the job's description is too large";
        JournalEntry entry { record.key, record.spec, {}, {}, record.at };
        if (!evictOldEnds(journal, bytesOf(record.job, entry), record.at, limits))
            return "the domain's journal is full";
        journal.jobs[record.job] = std::move(entry);
        return {};
    }

    /// Returns the entry that a record changes, and creates it if missing: the job may have been accepted
    /// during an outage.
    JournalEntry& entryFor(JobJournal& journal, const JobRecord& record)
    {
        auto [entry, added] = journal.jobs.try_emplace(record.job);
        if (added)
            entry->second.acceptedAt = record.at;
        if (!record.spec.empty())
            entry->second.spec = record.spec;
        return entry->second;
    }

    std::string applyClaim(JobJournal& journal, const JobRecord& record)
    {
        auto known = journal.jobs.find(record.job);
        bool exists = known != journal.jobs.end();
        if (exists && !known->second.claim.empty())
            return known->second.claim == record.gang ? "" : "claimed by " + known->second.claim;
        if (exists && known->second.end)
            return "the job has ended";
        if (isStale(journal, record))
            return "the domain has a newer owner";
        entryFor(journal, record).claim = record.gang;
        return {};
    }

    std::string applyUnclaim(JobJournal& journal, const JobRecord& record)
    {
        auto known = journal.jobs.find(record.job);
        if (known == journal.jobs.end() || known->second.end || known->second.claim.empty())
            return {};
        if (known->second.claim != record.gang)
            return "claimed by " + known->second.claim;
        entryFor(journal, record).claim.clear();
        return {};
    }

    std::string applyUpdate(JobJournal& journal, const JobRecord& record)
    {
        auto known = journal.jobs.find(record.job);
        if (known != journal.jobs.end() && known->second.end)
            return {};
        if (isStale(journal, record))
            return "the domain has a newer owner";
        entryFor(journal, record);
        return {};
    }

    std::string applyEnd(JobJournal& journal, const JobRecord& record)
    {
        auto& entry = entryFor(journal, record);
        if (!entry.end)
            entry.end = record.end.value_or(JobEnd {});
        entry.spec.clear();
        entry.claim.clear();
        return {};
    }

    std::string applyFence(JobJournal& journal, const JobRecord& record)
    {
        if (record.term < journal.term)
            return "the domain has a newer owner";
        journal.term = record.term;
        return {};
    }

} // namespace

std::optional<JobId> JobJournal::findKey(const std::string& key) const
{
    if (key.empty())
        return std::nullopt;
    auto found = std::ranges::find_if(jobs, [&](const auto& entry) { return entry.second.key == key; });
    return found == jobs.end() ? std::nullopt : std::optional(found->first);
}

std::string applyRecord(JobJournal& journal, const JobRecord& record, const JournalLimits& limits)
{
    if (record.at.milliseconds > 0)
        dropEndsBefore(journal, record.at.milliseconds - limits.endRetention.count());
    switch (record.kind) {
    case JobRecordKind::Fence:
        return applyFence(journal, record);
    case JobRecordKind::Accept:
        return applyAccept(journal, record, limits);
    case JobRecordKind::Claim:
        return applyClaim(journal, record);
    case JobRecordKind::Unclaim:
        return applyUnclaim(journal, record);
    case JobRecordKind::Update:
        return applyUpdate(journal, record);
    case JobRecordKind::End:
        return applyEnd(journal, record);
    }
    return "unknown kind of record";
}

ApplyRecords jobJournalApply(JournalLimits limits)
{
    return [limits](const std::string& payload, const std::vector<Record>& records) {
        AppliedRecords applied { payload, {} };
        auto journal = outcomeOf([&] { return decodeJournal(payload); });
        for (const auto& record : records) {
            auto decoded = outcomeOf([&] { return decodeRecord(record.body); });
            if (!journal)
                applied.rejections.push_back("unreadable journal: " + journal.error.what);
            else if (!decoded)
                applied.rejections.push_back("unreadable record: " + decoded.error.what);
            else
                applied.rejections.push_back(applyRecord(*journal.value, *decoded.value, limits));
        }
        if (journal)
            applied.payload = encodeJournal(*journal.value);
        return applied;
    };
}

std::string journalKey(const ZoneId& zone, const DomainId& domain)
{
    return "jobs/" + zone.str() + "/" + domain.str();
}

} // namespace jujubereach::journal
