#include "Rollouts/VersionComparison.h"

#include <boost/math/distributions/binomial.hpp>

namespace acaciaroad::rollouts {

namespace {

using Binomial = boost::math::binomial_distribution<double>;

/// Probability that the former version's rate is above its upper bound.
constexpr double BoundRisk = 1e-4;

/// A version is worse if its bad answers are less likely than this. There are
/// some thousand comparisons in a roll-out.
constexpr double MaxProbability = 1e-7;

/// Bad answers that a finding needs at least.
constexpr std::uint64_t MinBad = 8;

/// Answers of the former version without which there is no comparison.
constexpr std::uint64_t MinFormerAnswers = 30;

/// Least difference of the shares of failures that matters to callers.
constexpr double FailureMargin = 0.02;

/// Least difference of the shares of slow answers. Instances of one version
/// differ in speed, and few of them serve the share.
constexpr double LatencyMargin = 0.15;

/// An answer is slow from this many bins above the former version's median on:
/// two to three times as long.
constexpr std::size_t SlowBins = 3;

/// \p bad of \p answers.
struct Proportion {
  std::uint64_t Bad = 0;
  std::uint64_t Answers = 0;
  double share() const {
    return static_cast<double>(Bad) / static_cast<double>(Answers);
  }
};

std::optional<Finding> findDefect(Defect what, const Proportion &former,
                                  const Proportion &next, double margin) {
  if (next.Bad < MinBad || former.Answers < MinFormerAnswers)
    return std::nullopt;
  if (former.Bad == former.Answers || next.share() < former.share() + margin)
    return std::nullopt;
  const double bound = Binomial::find_upper_bound_on_p(
      static_cast<double>(former.Answers), static_cast<double>(former.Bad),
      BoundRisk);
  const Binomial alike(static_cast<double>(next.Answers), bound);
  // The complement excludes its argument.
  const double probability = boost::math::cdf(
      boost::math::complement(alike, static_cast<double>(next.Bad - 1)));
  if (probability > MaxProbability)
    return std::nullopt;
  return Finding{what, {}, next.Bad, next.Answers, former.share(), probability};
}

std::size_t medianBin(const AnswerCounts &counts) {
  const std::uint64_t half = counts.answers() / 2;
  std::uint64_t sum = 0;
  for (std::size_t n = 0; n < LatencyBins; ++n) {
    sum += counts.Latency[n];
    if (sum > half)
      return n;
  }
  return LatencyBins - 1;
}

Proportion slowerThan(const AnswerCounts &counts, std::size_t bin) {
  Proportion out{0, counts.answers()};
  for (std::size_t n = bin; n < LatencyBins; ++n)
    out.Bad += counts.Latency[n];
  return out;
}

} // namespace

std::string_view toString(Defect defect) {
  return defect == Defect::Failures ? "failures" : "latency";
}

std::optional<Finding> compare(const AnswerCounts &former,
                               const AnswerCounts &next) {
  if (auto out =
          findDefect(Defect::Failures, {former.Failures, former.answers()},
                     {next.Failures, next.answers()}, FailureMargin))
    return out;
  const std::size_t slow = medianBin(former) + SlowBins;
  return findDefect(Defect::Latency, slowerThan(former, slow),
                    slowerThan(next, slow), LatencyMargin);
}

std::optional<Finding> compareRoutes(std::span<const RouteCounts> routes) {
  RouteCounts all;
  for (const RouteCounts &it : routes) {
    if (auto out = compare(it.Former, it.Next)) {
      out->Route = it.Route;
      return out;
    }
    all.Former += it.Former;
    all.Next += it.Next;
  }
  // Latencies of different routes have no common median.
  if (auto out = compare(all.Former, all.Next);
      out && out->What == Defect::Failures)
    return out;
  return std::nullopt;
}

} // namespace acaciaroad::rollouts
