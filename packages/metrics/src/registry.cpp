#include "jujubereach/metrics/registry.h"

#include <boost/histogram.hpp>

#include <optional>
#include <sstream>
#include <string_view>

namespace jujubereach::metrics {

namespace {

    namespace bh = boost::histogram;

    constexpr unsigned binCount = 54;
    constexpr double smallestMilliseconds = 0.1;
    constexpr double largestMilliseconds = 86'400'000;

    using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

    auto makeBins()
    {
        return bh::make_histogram(LogAxis(binCount, smallestMilliseconds, largestMilliseconds));
    }
    using Bins = decltype(makeBins());

    std::string escaped(const std::string& value)
    {
        std::string out;
        for (const char c : value) {
            if (c == '"' || c == '\\')
                out += '\\';
            out += c == '\n' ? ' ' : c;
        }
        return out;
    }

    std::string formatLabels(const Labels& labels, const std::string& extra = {})
    {
        std::string out;
        for (const auto& [name, value] : labels)
            out += (out.empty() ? "" : ",") + name + "=\"" + escaped(value) + "\"";
        if (!extra.empty())
            out += (out.empty() ? "" : ",") + extra;
        return out.empty() ? out : "{" + out + "}";
    }

    // Calls f(upper edge, count) for each bin, including underflow and overflow.
    template <typename F> void forEachBin(const Bins& bins, F&& f)
    {
        const auto& axis = bins.axis(0);
        for (int i = -1; i <= static_cast<int>(axis.size()); ++i) {
            const double edge = i < 0 ? smallestMilliseconds : axis.value(i + 1);
            f(edge, static_cast<double>(bins.at(i)));
        }
    }

    double quantile(const Bins& bins, double total, double share)
    {
        double cumulative = 0;
        std::optional<double> found;
        forEachBin(bins, [&](double edge, double count) {
            cumulative += count;
            if (!found && cumulative >= share * total)
                found = edge;
        });
        return found.value_or(largestMilliseconds);
    }

    void renderHistogram(std::ostream& out, const std::string& name, const Labels& labels, const Bins& bins,
        double sum, double total)
    {
        double cumulative = 0;
        forEachBin(bins, [&](double edge, double count) {
            cumulative += count;
            if (count > 0)
                out << name << "_bucket" << formatLabels(labels, "le=\"" + std::to_string(edge) + "\"") << ' '
                    << cumulative << '\n';
        });
        out << name << "_bucket" << formatLabels(labels, "le=\"+Inf\"") << ' ' << total << '\n';
        out << name << "_sum" << formatLabels(labels) << ' ' << sum << '\n';
        out << name << "_count" << formatLabels(labels) << ' ' << total << '\n';
    }

} // namespace

struct Registry::Series {
    double value = 0; ///< Of a counter or gauge; the sum of a histogram.
    double count = 0;
    std::optional<Bins> bins;
};

struct Registry::Family {
    std::string_view type;
    std::map<Labels, Series> series;
};

Registry::Registry(std::size_t maxSeriesPerName)
    : m_maxSeriesPerName(maxSeriesPerName)
{
}

Registry::~Registry() = default;

Registry::Series& Registry::seriesOf(const std::string& name, const Labels& labels, const char* type)
{
    auto& family = m_families[name];
    if (!family) {
        family = std::make_unique<Family>();
        family->type = type;
    }
    if (auto it = family->series.find(labels); it != family->series.end())
        return it->second;
    if (family->series.size() < m_maxSeriesPerName)
        return family->series[labels];
    auto other = labels;
    for (auto& [label, value] : other)
        value = "other";
    return family->series[other];
}

void Registry::observe(const std::string& name, const Labels& labels, double milliseconds)
{
    std::lock_guard lock(m_mutex);
    auto& series = seriesOf(name, labels, "histogram");
    if (!series.bins)
        series.bins = makeBins();
    (*series.bins)(milliseconds);
    series.value += milliseconds;
    ++series.count;
}

void Registry::add(const std::string& name, const Labels& labels, double amount)
{
    std::lock_guard lock(m_mutex);
    seriesOf(name, labels, "counter").value += amount;
}

void Registry::set(const std::string& name, const Labels& labels, double value)
{
    std::lock_guard lock(m_mutex);
    seriesOf(name, labels, "gauge").value = value;
}

void Registry::onRender(std::function<void(Registry&)> refresh)
{
    std::lock_guard lock(m_mutex);
    m_refreshes.push_back(std::move(refresh));
}

std::string Registry::renderText()
{
    std::vector<std::function<void(Registry&)>> refreshes;
    {
        std::lock_guard lock(m_mutex);
        refreshes = m_refreshes;
    }
    for (const auto& refresh : refreshes)
        refresh(*this);

    std::lock_guard lock(m_mutex);
    std::ostringstream out;
    for (const auto& [name, family] : m_families) {
        out << "# TYPE " << name << ' ' << family->type << '\n';
        for (const auto& [labels, series] : family->series) {
            if (!series.bins) {
                out << name << formatLabels(labels) << ' ' << series.value << '\n';
                continue;
            }
            renderHistogram(out, name, labels, *series.bins, series.value, series.count);
        }
    }
    return out.str();
}

std::vector<HistogramRow> Registry::histograms() const
{
    std::lock_guard lock(m_mutex);
    std::vector<HistogramRow> rows;
    for (const auto& [name, family] : m_families) {
        for (const auto& [labels, series] : family->series) {
            if (!series.bins)
                continue;
            Quantiles quantiles { static_cast<std::uint64_t>(series.count), series.value / series.count,
                quantile(*series.bins, series.count, 0.5), quantile(*series.bins, series.count, 0.99) };
            rows.push_back({ name, labels, quantiles });
        }
    }
    return rows;
}

} // namespace jujubereach::metrics
