// Measures the slopes that docs/CAPACITY.md is worked out from. Figures of time depend on the machine.
#include "measure.h"

using namespace jujubereach::capacity;

int main()
{
    for (const std::uint32_t workers : { 64U, 256U, 1024U, 2200U })
        measureOwner(workers);
    for (const std::uint32_t tasks : { 1U, 4U, 8U, 16U }) {
        measureSync(tasks, false, false);
        measureSync(tasks, true, false);
        measureSync(tasks, false, true);
    }
    for (const std::size_t jobs : { 100U, 500U, 2000U })
        measureJournal(jobs);
    for (const std::size_t workspaces : { 10U, 50U, 250U })
        measureManifest(workspaces);
    for (const std::size_t callers : { 10U, 1000U, 100'000U })
        measureLedger(callers);
    return 0;
}
