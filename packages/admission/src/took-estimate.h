// Estimate of the slot time of one request, learned from those that finished.
#pragma once

#include "jujubereach/base/time.h"

#include <algorithm>
#include <cmath>

namespace jujubereach::admission {

/// Moving average of the slot time per unit of cost, in milliseconds. Without samples it falls, so that
/// an estimate above every deadline cannot refuse a kind of request for ever.
class TookEstimate {
public:
    bool known() const { return m_samples > 0; }

    void add(double milliseconds, TimePoint now)
    {
        milliseconds = std::max(milliseconds, leastMs);
        ++m_samples;
        double gain = std::max(minimumGain, 1.0 / m_samples);
        m_deviation += gain * (std::abs(milliseconds - m_mean) - m_deviation);
        m_mean += gain * (milliseconds - m_mean);
        m_lastSample = now;
    }

    double mean(TimePoint now) const
    {
        if (now - m_lastSample < trustedFor)
            return m_mean;
        return m_mean * (trustedFor / std::chrono::duration<double, std::milli>(now - m_lastSample));
    }

    /// The mean and so many mean absolute deviations.
    double high(double deviations, TimePoint now) const
    {
        return m_samples < 2 ? mean(now) : mean(now) * (1 + deviations * m_deviation / m_mean);
    }

private:
    static constexpr double leastMs = 0.1;
    static constexpr double minimumGain = 0.05;
    static constexpr Duration trustedFor { 5000 };

    double m_mean = 0; // above 0 once there are two samples
    double m_deviation = 0; // mean absolute deviation
    int m_samples = 0;
    TimePoint m_lastSample;
};

} // namespace jujubereach::admission
