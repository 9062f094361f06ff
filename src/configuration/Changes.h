#pragma once

#include "base/Error.h"
#include "configuration/Model.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cuminrelay {

/// One change to a configuration, with the expected and the new value. It has no effect when the new value is present
/// already; any other value than these two is a conflict. A change can therefore be applied again after concurrent
/// edits.
class Change {
public:
    Change() = default;
    Change(const Change&) = delete;
    Change& operator=(const Change&) = delete;
    virtual ~Change() = default;

    /// Path of the change, such as "host/NAME/label/KEY". A path contains all paths that begin with it and a slash.
    virtual std::string path() const = 0;

    /// One line for operators: "host/k-03: label tier: "silver" -> "gold"".
    virtual std::string describe() const = 0;

    /// False when the new value is present already. Errors, which leave the configuration unchanged: NotFound when the
    /// host or service to modify does not exist, Conflict when the value is neither the expected nor the new one.
    virtual Outcome<bool> apply(Configuration& configuration) const = 0;
};

using ChangeList = std::vector<std::shared_ptr<const Change>>;

enum class LabelTarget : std::uint8_t {
    Host,
    Service,
};

class LabelChange final : public Change {
public:
    /// expected, value: nullopt for an absent label.
    LabelChange(LabelTarget target, std::string name, std::string key, std::optional<std::string> expected,
        std::optional<std::string> value);

    std::string path() const override;
    std::string describe() const override;
    Outcome<bool> apply(Configuration& configuration) const override;

private:
    std::string targetPath() const;

    LabelTarget m_target;
    std::string m_name;
    std::string m_key;
    std::optional<std::string> m_expected;
    std::optional<std::string> m_value;
};

class SelectorChange final : public Change {
public:
    SelectorChange(std::string service, Selector expected, Selector value);

    std::string path() const override;
    std::string describe() const override;
    Outcome<bool> apply(Configuration& configuration) const override;

private:
    std::string m_service;
    Selector m_expected;
    Selector m_value;
};

class DrainingChange final : public Change {
public:
    DrainingChange(std::string host, bool expected, bool value);

    std::string path() const override;
    std::string describe() const override;
    Outcome<bool> apply(Configuration& configuration) const override;

private:
    std::string m_host;
    bool m_expected;
    bool m_value;
};

/// Changes the zone, endpoints or limits of a backend server, not its labels or draining state.
class HostFieldsChange final : public Change {
public:
    HostFieldsChange(BackendServer expected, BackendServer value);

    std::string path() const override;
    std::string describe() const override;
    Outcome<bool> apply(Configuration& configuration) const override;

private:
    BackendServer m_expected;
    BackendServer m_value;
};

/// Changes the address and protocol of a service, not its selector or labels.
class ServiceAddressChange final : public Change {
public:
    ServiceAddressChange(Service expected, Service value);

    std::string path() const override;
    std::string describe() const override;
    Outcome<bool> apply(Configuration& configuration) const override;

private:
    Service m_expected;
    Service m_value;
};

/// Adds a backend server whose name is unused.
class HostAddition final : public Change {
public:
    explicit HostAddition(BackendServer value);

    std::string path() const override;
    std::string describe() const override;
    Outcome<bool> apply(Configuration& configuration) const override;

private:
    BackendServer m_value;
};

/// Removes a backend server that has the expected content.
class HostRemoval final : public Change {
public:
    explicit HostRemoval(BackendServer expected);

    std::string path() const override;
    std::string describe() const override;
    Outcome<bool> apply(Configuration& configuration) const override;

private:
    BackendServer m_expected;
};

/// Adds a service whose name is unused.
class ServiceAddition final : public Change {
public:
    explicit ServiceAddition(Service value);

    std::string path() const override;
    std::string describe() const override;
    Outcome<bool> apply(Configuration& configuration) const override;

private:
    Service m_value;
};

/// Removes a service that has the expected content.
class ServiceRemoval final : public Change {
public:
    explicit ServiceRemoval(Service expected);

    std::string path() const override;
    std::string describe() const override;
    Outcome<bool> apply(Configuration& configuration) const override;

private:
    Service m_expected;
};

/// Adds or removes a zone that has entry VMs.
class ZoneChange final : public Change {
public:
    ZoneChange(std::string zone, bool present);

    std::string path() const override;
    std::string describe() const override;
    Outcome<bool> apply(Configuration& configuration) const override;

private:
    std::string m_zone;
    bool m_present;
};

} // namespace cuminrelay
