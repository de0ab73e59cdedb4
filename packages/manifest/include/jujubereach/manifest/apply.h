// Applying a manifest: sections under content names first, then one swap of the root; all or nothing.
#pragma once

#include "jujubereach/base/random.h"
#include "jujubereach/base/time.h"
#include "jujubereach/manifest/root.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jujubereach::manifest {

struct ApplyRequest {
    Manifest wanted; ///< Checked; parse() found no fault.
    OperationId operation;
    OperatorName operatorName;
    /// Counter of the manifest that the document was made from; empty takes the one that the service holds.
    std::optional<std::uint64_t> base;
    SectionMap
        baseSections; ///< Of `base`, when known; needed to rebase and to name what a conflict is about.
    std::uint64_t highestSeen = 0; ///< Counter that a host has seen; the new one goes above it.
    bool rebase = false; ///< Whether to go on when another operator changed other sections only.
    std::map<ContentName, std::string> knownTexts; ///< Saves reads when a rebased manifest is checked.
};

enum class ApplyStatus {
    Accepted, ///< In force everywhere within seconds, even if another one has followed since.
    Unchanged, ///< The service holds this manifest already.
    Conflict, ///< Another operator's apply came first; nothing was changed.
    Invalid, ///< Refused for the faults; nothing was changed.
    Unavailable, ///< The service did not answer; nothing was changed.
    Unknown, ///< The swap may have taken effect; apply again with the same operation id to learn it.
};

struct ApplyResult {
    ApplyStatus status = ApplyStatus::Unknown;
    std::uint64_t counter = 0; ///< Of the accepted or unchanged manifest.
    bool rebased = false;
    std::vector<SectionChange> changes; ///< Against the manifest that it replaced.
    AcceptedOperation other; ///< The one that came first, in a conflict.
    std::vector<SectionName> disputed; ///< Sections that both changed; empty when the base is not known.
    std::vector<Fault> faults;
    std::string what; ///< One sentence for the operator.
};

enum class StoreStatus {
    Ok,
    Conflict, ///< The key is not at the expected revision; nothing was written.
    NotFound,
    NotDone, ///< Refused or not sent: nothing was written.
    Unknown, ///< No reply; a write may have taken effect.
    TooLarge,
};

/// One call to the platform's service.
struct StoreCall {
    enum class Kind { Get, CompareAndSwap, Remove };
    Kind kind = Kind::Get;
    std::string key;
    std::string value;
    Revision expected; ///< 0 means that the key must be absent.
    Duration delay { 0 }; ///< To wait before the call.
};

struct StoreReply {
    StoreStatus status = StoreStatus::Unknown;
    std::string value;
    Revision revision;
};

/// Walks through one apply. The caller makes the calls that it asks for, one after the other.
class ApplySession {
public:
    ApplySession(ApplyRequest request, std::uint64_t seed);

    /// The call to make next; empty when the apply has ended.
    std::optional<StoreCall> next();
    void onReply(const StoreReply& reply);
    /// Valid once next() is empty.
    const ApplyResult& result() const { return m_result; }

private:
    enum class Step {
        ReadRoot,
        ReadIndex,
        ReadText, ///< Texts of others' sections, to check a merged manifest.
        ReadRetired, ///< Revisions of the texts that this apply replaces.
        RemoveRetired, ///< Texts replaced long ago.
        WriteText,
        ReadTextRevision, ///< Of a text that is there already.
        SwapRoot,
        Done,
    };

    StoreCall callOfStep() const;
    void dispatch(const StoreReply& reply);
    void onRoot(const StoreReply& reply);
    void onIndex(const StoreReply& reply);
    void onText(const StoreReply& reply);
    void onRetired(const StoreReply& reply);
    void onRemoved();
    void onWritten(const StoreReply& reply);
    void onTextRevision(const StoreReply& reply);
    void onTextStands(Revision revision);
    void onSwapped(const StoreReply& reply);

    void plan();
    bool isDecided();
    bool mergeWith(const SectionMap& base);
    void checkMerged();
    Manifest mergedManifest() const;
    void prepare();
    void prepareRoot();
    void listChanges();
    void prepareRetired();
    void prepareWrites();
    void nextRemoval();
    void readAnew();
    void countFailure();
    std::string unknownText() const;
    void finish(ApplyStatus status, std::string what);
    void refuseConflict(std::vector<SectionName> disputed);

    ApplyRequest m_request;
    Random m_random;
    SplitManifest m_wanted;
    Step m_step = Step::ReadRoot;
    Root m_heldRoot; ///< What the service holds, as last read; counter 0 when nothing.
    Index m_heldIndex;
    Revision m_heldRevision; ///< Of the root key, as last read.
    SectionMap m_sections; ///< Of the new root.
    std::map<ContentName, std::string> m_texts; ///< Known texts by name.
    std::vector<ContentName> m_toRead; ///< Texts needed to check a rebased manifest.
    std::vector<ContentName> m_toRetire; ///< Replaced texts whose revision is still to be read.
    std::vector<RetiredContent> m_retired; ///< Of the new index.
    std::vector<Content> m_toWrite; ///< The last one is written next; the index is the first.
    Revision m_textRevision; ///< Expected revision of the text that is written next.
    Root m_newRoot;
    std::size_t m_failures = 0; ///< Calls in a row without an answer.
    std::size_t m_lostSwaps = 0; ///< Swaps won by others.
    bool m_swapUnknown = false; ///< A swap of this operation may have taken effect.
    ApplyResult m_result;
};

/// A sentence for the operator that names who came first and what both changed.
std::string conflictText(const AcceptedOperation& other, const std::vector<SectionName>& disputed);

} // namespace jujubereach::manifest
