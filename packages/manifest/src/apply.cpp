// The steps of an apply: which call comes next and what its reply means.
#include "jujubereach/manifest/apply.h"

#include <algorithm>

namespace jujubereach::manifest {

namespace {

    constexpr std::size_t maxFailures = 8;
    constexpr std::size_t maxLostSwaps = 16;
    constexpr Duration firstRetryDelay { 50 };
    constexpr Duration maxRetryDelay { 2000 };
    constexpr std::size_t maxDoublings = 6;

} // namespace

ApplySession::ApplySession(ApplyRequest request, std::uint64_t seed)
    : m_request(std::move(request))
    , m_random(seed)
    , m_wanted(split(m_request.wanted))
    , m_texts(m_request.knownTexts)
{
    for (const auto& [name, text] : m_wanted.texts)
        m_texts[name] = text;
}

std::optional<StoreCall> ApplySession::next()
{
    if (m_step == Step::Done)
        return std::nullopt;
    auto call = callOfStep();
    if (m_failures > 0) {
        auto bound = std::min(maxRetryDelay, firstRetryDelay * (1 << std::min(m_failures, maxDoublings)));
        call.delay = Duration(m_random.below(static_cast<std::uint64_t>(bound.count())) + 1);
    }
    return call;
}

StoreCall ApplySession::callOfStep() const
{
    using Kind = StoreCall::Kind;
    switch (m_step) {
    case Step::ReadIndex:
        return { Kind::Get, contentKey(m_heldRoot.index), {}, {}, {} };
    case Step::ReadText:
        return { Kind::Get, contentKey(m_toRead.back()), {}, {}, {} };
    case Step::ReadRetired:
        return { Kind::Get, contentKey(m_toRetire.back()), {}, {}, {} };
    case Step::RemoveRetired:
        return { Kind::Remove, contentKey(m_retired.front().name), {}, m_retired.front().revision, {} };
    case Step::ReadTextRevision:
        return { Kind::Get, contentKey(m_toWrite.back().name), {}, {}, {} };
    case Step::WriteText: {
        const auto& content = m_toWrite.back();
        return { Kind::CompareAndSwap, contentKey(content.name), content.text, m_textRevision, {} };
    }
    case Step::SwapRoot:
        return { Kind::CompareAndSwap, rootKey, encode(m_newRoot), m_heldRevision, {} };
    case Step::ReadRoot:
    case Step::Done:
        break;
    }
    return { Kind::Get, rootKey, {}, {}, {} };
}

void ApplySession::onReply(const StoreReply& reply)
{
    if (reply.status == StoreStatus::TooLarge) {
        finish(ApplyStatus::Invalid, "the service refuses a section as too large; split it");
        return;
    }
    if (reply.status == StoreStatus::Unknown && m_step == Step::SwapRoot) {
        // Reading back tells whether it took effect.
        m_swapUnknown = true;
        m_step = Step::ReadRoot;
        countFailure();
        return;
    }
    if (reply.status == StoreStatus::NotDone || reply.status == StoreStatus::Unknown) {
        countFailure();
        return;
    }
    m_failures = 0;
    dispatch(reply);
}

void ApplySession::dispatch(const StoreReply& reply)
{
    switch (m_step) {
    case Step::ReadRoot:
        return onRoot(reply);
    case Step::ReadIndex:
        return onIndex(reply);
    case Step::ReadText:
        return onText(reply);
    case Step::ReadRetired:
        return onRetired(reply);
    case Step::RemoveRetired:
        return onRemoved();
    case Step::WriteText:
        return onWritten(reply);
    case Step::ReadTextRevision:
        return onTextRevision(reply);
    case Step::SwapRoot:
        return onSwapped(reply);
    case Step::Done:
        return;
    }
}

void ApplySession::countFailure()
{
    if (++m_failures <= maxFailures)
        return;
    if (!m_swapUnknown) {
        finish(
            ApplyStatus::Unavailable, "the service does not answer; nothing was changed; apply again later");
        return;
    }
    finish(ApplyStatus::Unknown, unknownText());
}

std::string ApplySession::unknownText() const
{
    return "the service's replies are lost; whether the manifest was accepted is not known; apply again with "
           "operation "
        + m_request.operation.str() + " to learn it";
}

// The root has moved on and a value that it named was removed; or the service has lost the value.
void ApplySession::readAnew()
{
    m_heldRevision = {};
    m_step = Step::ReadRoot;
    countFailure();
    if (++m_lostSwaps > maxLostSwaps)
        finish(ApplyStatus::Invalid, "the service has lost a value that its root names");
}

void ApplySession::onRoot(const StoreReply& reply)
{
    if (reply.status != StoreStatus::Ok) {
        m_heldRoot = {};
        m_heldIndex = {};
        m_heldRevision = {};
        plan();
        return;
    }
    if (reply.revision == m_heldRevision) {
        // Unchanged since the swap whose reply was lost: the same swap again takes effect at most once.
        m_step = Step::SwapRoot;
        if (++m_lostSwaps > maxLostSwaps)
            finish(ApplyStatus::Unknown, unknownText());
        return;
    }
    auto root = outcomeOf([&] { return decodeRoot(reply.value); });
    if (!root) {
        finish(ApplyStatus::Invalid, "the root in the service " + root.error.what);
        return;
    }
    m_heldRoot = std::move(*root.value);
    m_heldRevision = reply.revision;
    m_step = Step::ReadIndex;
}

void ApplySession::onIndex(const StoreReply& reply)
{
    auto index = outcomeOf([&] { return decodeIndex(reply.value); });
    if (reply.status != StoreStatus::Ok || !index) {
        readAnew();
        return;
    }
    m_heldIndex = std::move(*index.value);
    plan();
}

void ApplySession::onText(const StoreReply& reply)
{
    if (reply.status != StoreStatus::Ok || contentNameOf(reply.value) != m_toRead.back()) {
        readAnew();
        return;
    }
    m_texts[m_toRead.back()] = reply.value;
    checkMerged();
}

void ApplySession::onRetired(const StoreReply& reply)
{
    if (reply.status == StoreStatus::Ok)
        m_retired.push_back({ m_toRetire.back(), reply.revision });
    m_toRetire.pop_back();
    if (m_toRetire.empty())
        nextRemoval();
}

// Removed, gone before, or in use again: in each case no longer on the list.
void ApplySession::onRemoved()
{
    m_retired.erase(m_retired.begin());
    nextRemoval();
}

// A text that is there already is written once more: its new revision keeps it from being removed as unused.
void ApplySession::onWritten(const StoreReply& reply)
{
    if (reply.status != StoreStatus::Ok) {
        m_step = Step::ReadTextRevision;
        return;
    }
    onTextStands(reply.revision);
}

// A second read that shows another revision than the first is as good as an answered write.
void ApplySession::onTextRevision(const StoreReply& reply)
{
    bool isThere = reply.status == StoreStatus::Ok;
    if (isThere && m_textRevision.value > 0 && reply.revision != m_textRevision) {
        onTextStands(reply.revision);
        return;
    }
    m_textRevision = isThere ? reply.revision : Revision {};
    m_step = Step::WriteText;
}

void ApplySession::onTextStands(Revision revision)
{
    if (m_toWrite.size() == 1)
        m_newRoot.indexRevision = revision;
    m_toWrite.pop_back();
    m_textRevision = {};
    m_step = m_toWrite.empty() ? Step::SwapRoot : Step::WriteText;
}

void ApplySession::onSwapped(const StoreReply& reply)
{
    if (reply.status == StoreStatus::Ok) {
        m_result.counter = m_newRoot.counter;
        finish(ApplyStatus::Accepted, "accepted as revision " + std::to_string(m_newRoot.counter));
        return;
    }
    // Another operator won, or an earlier swap of this one did whose reply was lost: reading back tells.
    m_step = Step::ReadRoot;
    if (++m_lostSwaps > maxLostSwaps)
        finish(ApplyStatus::Conflict, "other operators' applies keep coming first; apply again");
}

void ApplySession::finish(ApplyStatus status, std::string what)
{
    m_result.status = status;
    m_result.what = std::move(what);
    m_step = Step::Done;
}

} // namespace jujubereach::manifest
