// Measures scheduling decisions in virtual time; the same output in every run, CPU times apart.
#include "cases.h"

int main()
{
    using namespace jujubereach::bench;
    Report report;
    comparePolicies(report, peachtree(), { 1, 2 });
    return report.passed() ? 0 : 1;
}
