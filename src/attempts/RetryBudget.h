#pragma once

namespace cuminrelay {

/// Token bucket that bounds retries to a ratio of fresh requests, so that retries cannot feed an overload. Fresh
/// requests fill it; time does not, so that a service without fresh work gets no retries either.
class RetryBudget {
public:
    struct Parameters {
        double m_ratio = 0.1; ///< tokens that each fresh request adds
        double m_capacity = 20; ///< the most tokens held; it starts full
    };

    RetryBudget()
        : RetryBudget(Parameters {})
    {
    }

    explicit RetryBudget(const Parameters& parameters);

    /// Counts a fresh request.
    void deposit();

    /// Takes a token for one retry. Returns false, and takes nothing, when there is no whole token.
    bool withdraw();

private:
    Parameters m_parameters;
    double m_tokens;
};

} // namespace cuminrelay
