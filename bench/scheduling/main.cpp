// Measures scheduling decisions in virtual time; the same output in every run, CPU times apart.
#include "cases.h"

#include <string>

int main(int argc, char** argv)
{
    using namespace jujubereach::bench;
    const std::string part = argc > 1 ? argv[1] : "all";
    auto wanted = [&part](const char* name) { return part == "all" || part == name; };
    Report report;
    if (wanted("peachtree"))
        comparePolicies(report, peachtree(), { 1, 2, 3, 4, 5 });
    if (wanted("armor"))
        comparePolicies(report, armor(), { 11, 12 });
    if (wanted("lent")) {
        startWhenAllIsLent(report, peachtree(), { 21, 22, 23, 24, 25, 26, 27, 28 });
        startWhenAllIsLent(report, armor(), { 31, 32, 33, 34, 35, 36, 37, 38 });
    }
    if (wanted("target"))
        loadTarget(report, 41);
    if (wanted("cost"))
        measureCost(report, 51);
    return report.passed() ? 0 : 1;
}
