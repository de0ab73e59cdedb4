#include "jujubereach/fleet/interference.h"

#include <algorithm>
#include <cmath>

namespace jujubereach::fleet {

namespace {

    constexpr double halfLifeMs = 10'000;
    constexpr double priorWeight
        = 0.1; // Prior of an effect: 0, with the evidence of a tenth of a measurement.
    // Tails of half a second of requests scatter by about this much (logarithm), and count as this many
    // measurements until residuals show the actual scatter.
    constexpr double priorNoise = 0.15;
    constexpr double priorNoiseWeight = 3;
    constexpr double certainty = 2.5; // Standard deviations.
    constexpr double leastEffect = 0.1; // Smaller slowdowns are within the headroom of a target.
    constexpr double forgottenWeight = 0.02; // Six half-lives after a single measurement.
    constexpr Duration pruneInterval { 10'000 };
    constexpr std::size_t maxKinds = 4096;
    constexpr std::size_t maxPairs = 4096; // All are visited for each refresh of the known ones.
    constexpr std::size_t maxPlaces = 11'000;

    double amountOf(const std::vector<Neighbour>& neighbours, TaskKind kind)
    {
        const auto found = std::find_if(neighbours.begin(), neighbours.end(),
            [kind](const Neighbour& neighbour) { return neighbour.kind == kind; });
        return found == neighbours.end() ? 0 : found->amount;
    }

} // namespace

double InterferenceModel::decay(TimePoint from, TimePoint to)
{
    return std::exp2(-static_cast<double>((to - from).count()) / halfLifeMs);
}

TaskKind InterferenceModel::kindOf(const std::string& name)
{
    if (const auto found = m_kinds.find(name); found != m_kinds.end())
        return { found->second };
    if (m_names.size() >= maxKinds)
        return {};
    m_kinds.emplace(name, m_names.size());
    m_names.push_back(name);
    return { m_names.size() - 1 };
}

const std::string& InterferenceModel::nameOf(TaskKind kind) const
{
    return m_names[kind.value];
}

void InterferenceModel::observe(const SlowdownObservation& observation, TimePoint now)
{
    prune(now);
    const std::pair key { observation.place, observation.affected };
    if (observation.affected == TaskKind {} || (m_places.size() >= maxPlaces && !m_places.contains(key)))
        return;
    auto& place = m_places[key];
    const auto before = place.weight > 0 ? place.weight * decay(place.at, now) : 0;
    for (const auto& neighbour : observation.neighbours) {
        const auto isNew = std::none_of(place.amounts.begin(), place.amounts.end(),
            [&](const Neighbour& mean) { return mean.kind == neighbour.kind; });
        if (isNew && neighbour.kind != TaskKind {})
            place.amounts.push_back({ neighbour.kind, 0 });
    }
    const auto share = observation.weight / (before + observation.weight);
    const auto y = observation.logSlowdown - place.mean;
    // Effects of the other neighbours are subtracted, so that none is blamed for what another explains.
    auto explained = 0.0;
    for (const auto& mean : place.amounts)
        explained += (amountOf(observation.neighbours, mean.kind) - mean.amount)
            * effectOf(observation.affected, mean.kind, now).mean;
    for (auto& mean : place.amounts) {
        const auto x = amountOf(observation.neighbours, mean.kind) - mean.amount;
        const auto own = x * effectOf(observation.affected, mean.kind, now).mean;
        if (before > 0 && x != 0)
            learn({ observation.affected, mean.kind }, x, y - (explained - own), before * share, now);
        mean.amount += share * x;
    }
    std::erase_if(
        place.amounts, [](const Neighbour& mean) { return std::abs(mean.amount) < forgottenWeight; });
    place.mean += share * y;
    place.weight = before + observation.weight;
    place.at = now;
}

void InterferenceModel::learn(const PairKey& key, double x, double y, double weight, TimePoint now)
{
    if (m_pairs.size() >= maxPairs && !m_pairs.contains(key))
        return;
    const auto residual = y - x * effectOf(key.first, key.second, now).mean;
    auto& pair = m_pairs[key];
    const auto kept = pair.xx > 0 ? decay(pair.at, now) : 0;
    pair.xx = pair.xx * kept + weight * x * x;
    pair.xy = pair.xy * kept + weight * x * y;
    // The residual of a first measurement is the effect itself.
    const auto isFirst = kept == 0;
    pair.noise = pair.noise * kept + (isFirst ? 0 : weight * residual * residual);
    pair.weight = pair.weight * kept + (isFirst ? 0 : weight);
    pair.at = now;
}

void InterferenceModel::clear(TaskKind affected, TaskKind neighbour)
{
    m_pairs.erase({ affected, neighbour });
}

void InterferenceModel::forget(const WorkerId& place)
{
    auto found = m_places.lower_bound({ place, {} });
    while (found != m_places.end() && found->first.first == place)
        found = m_places.erase(found);
}

PairEffect InterferenceModel::effectOf(TaskKind affected, TaskKind neighbour, TimePoint now) const
{
    const auto found = m_pairs.find({ affected, neighbour });
    if (found == m_pairs.end())
        return { 0, priorNoise / std::sqrt(priorWeight) };
    const auto& pair = found->second;
    const auto kept = decay(pair.at, now);
    const auto evidence = pair.xx * kept + priorWeight;
    const auto variance = (priorNoise * priorNoise * priorNoiseWeight + pair.noise * kept)
        / (priorNoiseWeight + pair.weight * kept);
    return { pair.xy * kept / evidence, std::sqrt(variance / evidence) };
}

bool InterferenceModel::isKnown(TaskKind affected, TaskKind neighbour, TimePoint now) const
{
    const auto effect = effectOf(affected, neighbour, now);
    return effect.mean - certainty * effect.deviation > leastEffect;
}

KnownPairs InterferenceModel::knownPairs(TimePoint now) const
{
    KnownPairs out;
    for (const auto& [key, pair] : m_pairs) {
        if (!isKnown(key.first, key.second, now))
            continue;
        const auto effect = effectOf(key.first, key.second, now).mean;
        out[key.first][key.second] += effect;
        if (key.first != key.second)
            out[key.second][key.first] += effect;
    }
    return out;
}

void InterferenceModel::prune(TimePoint now)
{
    if (now < m_pruneAt)
        return;
    m_pruneAt = now + pruneInterval;
    std::erase_if(m_places, [now](const auto& entry) {
        return entry.second.weight * decay(entry.second.at, now) < forgottenWeight;
    });
    std::erase_if(m_pairs, [now](const auto& entry) {
        return entry.second.xx * decay(entry.second.at, now) < forgottenWeight * forgottenWeight;
    });
}

} // namespace jujubereach::fleet
