// Labelled histograms, counters and gauges in the Prometheus text format.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace jujubereach::metrics {

/// Label names and values, such as {{"workspace", "foil"}}.
using Labels = std::map<std::string, std::string>;

struct Quantiles {
    std::uint64_t count = 0;
    double mean = 0;
    double p50 = 0; ///< Quantiles are the upper edges of the bins that contain them.
    double p99 = 0;
};

struct HistogramRow {
    std::string name;
    Labels labels;
    Quantiles quantiles;
};

/// All functions may be called from any thread.
class Registry {
public:
    /// Further series of a name that has `maxSeriesPerName` are merged into one with all label values
    /// "other".
    explicit Registry(std::size_t maxSeriesPerName = 512);
    ~Registry();

    /// Adds a duration to a histogram with logarithmic bins from 0.1 ms to one day.
    void observe(const std::string& name, const Labels& labels, double milliseconds);
    void add(const std::string& name, const Labels& labels, double amount = 1);
    void set(const std::string& name, const Labels& labels, double value);

    /// Registers a function that runs before each rendering, to refresh gauges.
    void onRender(std::function<void(Registry&)> refresh);

    std::string renderText();
    std::vector<HistogramRow> histograms() const;

private:
    struct Series;
    struct Family;

    Series& seriesOf(const std::string& name, const Labels& labels, const char* type);

    const std::size_t m_maxSeriesPerName;
    mutable std::mutex m_mutex; ///< Guards all below.
    std::map<std::string, std::unique_ptr<Family>> m_families;
    std::vector<std::function<void(Registry&)>> m_refreshes;
};

} // namespace jujubereach::metrics
