#pragma once

namespace cuminrelay {

/// Token bucket that bounds retries to a ratio of new requests, so that retries do not amplify an overload. Tokens are
/// added by new requests, not by time, so a service without new requests gets no further retries.
class RetryBudget {
public:
    struct Parameters {
        double m_ratio = 0.1; ///< tokens added per new request
        double m_capacity = 20; ///< maximum number of tokens; the bucket starts full
    };

    RetryBudget()
        : RetryBudget(Parameters {})
    {
    }

    explicit RetryBudget(const Parameters& parameters);

    /// Adds the tokens of one new request.
    void deposit();

    /// Takes a token for one retry. Returns false and takes nothing if less than one token is left.
    bool withdraw();

private:
    Parameters m_parameters;
    double m_tokens;
};

} // namespace cuminrelay
