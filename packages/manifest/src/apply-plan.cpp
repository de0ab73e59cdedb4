// What an apply writes: the plan against the manifest that the service holds, conflicts, and rebasing.
#include "jujubereach/manifest/apply.h"

#include "json-names.h"

#include <algorithm>

namespace jujubereach::manifest {

namespace {

    std::set<ContentName> contentsOf(const SectionMap& sections)
    {
        std::set<ContentName> contents;
        for (const auto& [name, content] : sections)
            contents.insert(content);
        return contents;
    }

    bool haveSame(const std::vector<SectionChange>& changes, const SectionChange& change)
    {
        return std::any_of(changes.begin(), changes.end(), [&](const SectionChange& other) {
            return other.name == change.name && other.content == change.content;
        });
    }

} // namespace

void ApplySession::plan()
{
    if (isDecided())
        return;
    auto held = m_heldRoot.counter;
    if (!m_request.base) {
        m_request.base = held;
        m_request.baseSections = m_heldIndex.sections;
    }
    m_sections = m_wanted.sections;
    m_result.rebased = false;
    if (*m_request.base != held && !mergeWith(m_request.baseSections))
        return;
    checkMerged();
}

// Whether the held root already tells how the apply has ended.
bool ApplySession::isDecided()
{
    const auto& accepted = m_heldIndex.accepted;
    auto own = std::find_if(accepted.begin(), accepted.end(),
        [&](const AcceptedOperation& other) { return other.operation == m_request.operation; });
    if (own != accepted.end()) {
        m_result.counter = own->counter;
        finish(ApplyStatus::Accepted, "accepted as revision " + std::to_string(own->counter));
        return true;
    }
    if (m_heldRoot.counter > 0 && m_wanted.sections == m_heldIndex.sections) {
        m_result.counter = m_heldRoot.counter;
        finish(ApplyStatus::Unchanged,
            "revision " + std::to_string(m_heldRoot.counter) + " is this manifest already");
        return true;
    }
    bool isForgotten = m_swapUnknown && accepted.size() >= maxAcceptedOperations
        && accepted.front().counter > m_newRoot.counter;
    if (isForgotten) {
        finish(ApplyStatus::Unknown,
            "too many applies followed to tell whether this one was accepted; run diff");
        return true;
    }
    return false;
}

// Both sides' changes since the base, when they do not touch the same section.
bool ApplySession::mergeWith(const SectionMap& base)
{
    auto theirs = changesBetween(base, m_heldIndex.sections);
    auto ours = changesBetween(base, m_wanted.sections);
    std::set<SectionName> theirNames;
    for (const auto& change : theirs)
        theirNames.insert(change.name);
    std::vector<SectionName> disputed;
    for (const auto& change : ours) {
        if (theirNames.contains(change.name) && !haveSame(theirs, change))
            disputed.push_back(change.name);
    }
    if (base.empty() || !m_request.rebase || !disputed.empty()) {
        refuseConflict(base.empty() ? std::vector<SectionName> {} : std::move(disputed));
        return false;
    }
    m_sections = m_heldIndex.sections;
    applyChanges(m_sections, ours);
    m_result.rebased = true;
    return true;
}

void ApplySession::refuseConflict(std::vector<SectionName> disputed)
{
    if (!m_heldIndex.accepted.empty())
        m_result.other = m_heldIndex.accepted.back();
    m_result.disputed = std::move(disputed);
    finish(ApplyStatus::Conflict, conflictText(m_result.other, m_result.disputed));
}

// Two changes that are valid alone may not be valid together, so a merged manifest is checked as a whole.
void ApplySession::checkMerged()
{
    if (!m_result.rebased) {
        prepare();
        return;
    }
    m_toRead.clear();
    for (const auto& content : contentsOf(m_sections)) {
        if (!m_texts.contains(content))
            m_toRead.push_back(content);
    }
    if (!m_toRead.empty()) {
        m_step = Step::ReadText;
        return;
    }
    m_result.faults = check(mergedManifest());
    if (m_result.faults.empty())
        prepare();
    else
        finish(ApplyStatus::Invalid, "the manifest is not valid together with the change that came first");
}

Manifest ApplySession::mergedManifest() const
{
    std::map<SectionName, Manifest> parts;
    std::map<SectionName, const Manifest*> pointers;
    for (const auto& [name, content] : m_sections) {
        const auto& text = m_texts.at(content);
        auto part = outcomeOf([&] { return readSection(text); });
        if (part)
            pointers[name] = &(parts[name] = std::move(*part.value));
    }
    return assemble(pointers);
}

void ApplySession::prepare()
{
    for (const auto& [name, content] : m_sections) {
        auto text = m_texts.find(content);
        if (text != m_texts.end() && text->second.size() > maxSectionBytes)
            m_result.faults.push_back({ name.str(),
                "has " + std::to_string(text->second.size()) + " bytes; it must have at most "
                    + std::to_string(maxSectionBytes) });
    }
    if (!m_result.faults.empty()) {
        finish(ApplyStatus::Invalid, "a section is too large");
        return;
    }
    m_result.changes = changesBetween(m_heldIndex.sections, m_sections);
    prepareRoot();
    prepareRetired();
}

void ApplySession::prepareRoot()
{
    m_newRoot = {};
    m_newRoot.counter = std::max(m_heldRoot.counter, m_request.highestSeen) + 1;
    m_newRoot.operation = m_request.operation;
    m_newRoot.operatorName = m_request.operatorName;
    m_newRoot.sections = nameOfSections(m_sections);
    listChanges();
}

// The own changes and those that the held root lists, as far back as there is room.
void ApplySession::listChanges()
{
    if (m_heldRoot.counter == 0 || m_result.changes.size() > maxRootChanges)
        return;
    auto& listed = m_newRoot.changes;
    listed = m_result.changes;
    std::set<SectionName> names;
    for (auto& change : listed) {
        change.counter = m_newRoot.counter;
        names.insert(change.name);
    }
    m_newRoot.base = m_heldRoot.counter;
    if (m_heldRoot.base == 0)
        return;
    m_newRoot.base = m_heldRoot.base;
    for (const auto& change : m_heldRoot.changes) {
        if (names.contains(change.name))
            continue;
        if (listed.size() == maxRootChanges) {
            // Of the root that made this change not all are listed.
            m_newRoot.base = change.counter;
            std::erase_if(
                listed, [&](const SectionChange& other) { return other.counter <= change.counter; });
            return;
        }
        listed.push_back(change);
    }
}

void ApplySession::prepareRetired()
{
    auto used = contentsOf(m_sections);
    m_retired = m_heldIndex.retired;
    std::erase_if(m_retired, [&](const RetiredContent& content) { return used.contains(content.name); });
    if (!m_heldRoot.index.empty())
        m_retired.push_back({ m_heldRoot.index, m_heldRoot.indexRevision });
    m_toRetire.clear();
    for (const auto& content : contentsOf(m_heldIndex.sections)) {
        if (!used.contains(content))
            m_toRetire.push_back(content);
    }
    if (m_toRetire.empty())
        nextRemoval();
    else
        m_step = Step::ReadRetired;
}

void ApplySession::nextRemoval()
{
    if (m_retired.size() > keptRetiredContents)
        m_step = Step::RemoveRetired;
    else
        prepareWrites();
}

void ApplySession::prepareWrites()
{
    Index index { m_sections, m_heldIndex.accepted, m_retired };
    index.accepted.push_back({ m_newRoot.counter, m_request.operation, m_request.operatorName });
    while (index.accepted.size() > maxAcceptedOperations)
        index.accepted.erase(index.accepted.begin());
    m_toWrite = { makeContent(encode(index)) };
    m_newRoot.index = m_toWrite.front().name;
    for (const auto& change : m_result.changes) {
        if (!change.content.empty())
            m_toWrite.push_back({ change.content, m_texts.at(change.content) });
    }
    m_textRevision = {};
    m_step = Step::WriteText;
}

std::string conflictText(const AcceptedOperation& other, const std::vector<SectionName>& disputed)
{
    auto text = "operator " + other.operatorName.str() + " came first with revision "
        + std::to_string(other.counter) + " (operation " + other.operation.str() + ")";
    std::vector<std::string> names;
    names.reserve(disputed.size());
    for (const auto& name : disputed)
        names.push_back(name.str());
    if (names.empty())
        return text + "; run diff, then apply again on that revision";
    return text + "; both changed " + joinNames(names) + "; run diff, take the change in, and apply again";
}

} // namespace jujubereach::manifest
