#pragma once

#include <bilberrytrail/base/error.h>
#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/base/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bilberrytrail {

// A client account: its accepted tokens and its limits.
struct AccountSpec
{
  // SHA-256 of each accepted token as 64 lower-case hexadecimal digits.
  std::vector<std::string> mTokenHashes;
  double mRequestsPerSecond = 0;
  double mTokensPerSecond = 0;
  std::uint32_t mConcurrent = 0;

  auto operator<=>(const AccountSpec&) const = default;
};

// A model: the weight version in force and the number of backend servers.
struct ModelSpec
{
  VersionId mVersion;
  std::uint32_t mMinServers = 1;
  std::uint32_t mMaxServers = 1;
  // Role that its servers are set to; empty to leave their role unchanged.
  std::string mRole;

  auto operator<=>(const ModelSpec&) const = default;
};

// An adapter of a model.
struct AdapterSpec
{
  ModelId mModel;

  auto operator<=>(const AdapterSpec&) const = default;
};

// An order service: the group of its servers and the rules for its calls.
struct ServiceSpec
{
  std::string mGroup;
  // Calls that are safe to repeat, as "METHOD /path-prefix".
  std::vector<std::string> mRepeatable;
  Duration mTimeout{};

  auto operator<=>(const ServiceSpec&) const = default;
};

// The configuration of one product that a release puts in force.
struct ProductState
{
  ProductId mProduct;
  ReleaseNumber mNumber;
  std::map<AccountId, AccountSpec> mAccounts;
  std::map<ModelId, ModelSpec> mModels;
  std::map<std::string, AdapterSpec> mAdapters;
  std::map<std::string, ServiceSpec> mServices;

  bool operator==(const ProductState&) const = default;
};

// Returns the state as JSON. Equal states give equal texts.
[[nodiscard]] std::string
ToText(const ProductState& aState);

// Reads a state from JSON. Fails with Corrupt when the text is not JSON or a
// field is missing or of another type.
[[nodiscard]] Result<ProductState>
ProductStateFromText(std::string_view aText);

// Returns the SHA-256 of the state's JSON text.
[[nodiscard]] std::string
HashOf(const ProductState& aState);

} // namespace bilberrytrail
