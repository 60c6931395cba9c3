#include "fittings.hpp"

#include <google/protobuf/io/tokenizer.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/text_format.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace granitereel {

namespace {

namespace pb = google::protobuf;
using pb::TextFormat;

// What is wrong, with where: a line of the file, or the first where none is to blame.
class Faults final : public pb::io::ErrorCollector {
public:
    explicit Faults(std::string file) : file_(std::move(file)) {}
    void AddError(int line, pb::io::ColumnNumber column, const std::string& why) override {
        if (!text_.empty()) text_ += '\n';
        text_ += file_ + ':' + std::to_string(line < 0 ? 1 : line + 1) + ':' +
                 std::to_string(column < 0 ? 1 : column + 1) + ": " + why;
    }
    void AddWarning(int line, pb::io::ColumnNumber column, const std::string& why) override {
        AddError(line, column, why);
    }
    void throwIfAny() const {
        if (!text_.empty()) throw Misfit(text_);
    }

private:
    std::string file_, text_;
};

// Where fields stand, for checks beyond the form.
class Spot {
public:
    Spot(const pb::Message& in, const TextFormat::ParseInfoTree* tree, Faults& faults)
        : in_(in), tree_(tree), faults_(faults) {}
    void wrong(const char* field, const std::string& why) const {
        const auto* named = in_.GetDescriptor()->FindFieldByName(field);
        const auto at =
            tree_ ? tree_->GetLocation(named, named->is_repeated() ? 0 : -1) : TextFormat::ParseLocation();
        faults_.AddError(at.line, at.column, std::string(field) + ": " + why);
    }
    void within(const char* field, std::uint32_t least, std::uint32_t most) const {
        const auto* named = in_.GetDescriptor()->FindFieldByName(field);
        const auto value = in_.GetReflection()->GetUInt32(in_, named);
        if (value < least || value > most)
            wrong(field, std::to_string(value) + " is not within " + std::to_string(least) + " to " +
                             std::to_string(most));
    }
    Spot inside(const char* field, const pb::Message& message) const {
        const auto* named = in_.GetDescriptor()->FindFieldByName(field);
        return {message, tree_ ? tree_->GetTreeForNested(named, -1) : nullptr, faults_};
    }

private:
    const pb::Message& in_;
    const TextFormat::ParseInfoTree* tree_;
    Faults& faults_;
};

void check(fittings::TlsToStores& tls, const Spot& at, const std::filesystem::path& folder) {
    const auto path = [&](const char* field, bool given, std::string* name) {
        if (!given) return;
        if (name->empty()) return at.wrong(field, "names no file");
        *name = (folder / *name).lexically_normal();
    };
    path("trust", tls.has_trust(), tls.mutable_trust());
    if (tls.has_revoked()) path("revoked", true, tls.mutable_revoked());
    if (tls.has_certificate()) path("certificate", true, tls.mutable_certificate());
    if (tls.has_key()) path("key", true, tls.mutable_key());
    if (tls.has_certificate() != tls.has_key())
        at.wrong(tls.has_key() ? "key" : "certificate", "a certificate and its key are given together");
    at.within("longest_chain", 0, 8);
    at.within("tickets_per_store", 0, 64);
    at.within("warn_hours_before_expiry", 0, 8760);
    if (tls.direct() && tls.oldest_version() != fittings::TlsToStores::TLS_1_3 && tls.has_oldest_version())
        at.wrong("oldest_version", "with direct: true there is TLS 1.3 alone");

    const std::string& name = tls.expected_name();
    if (name.empty()) at.wrong("expected_name", "is empty: every certificate would do");
    for (std::size_t open = 0; (open = name.find('{', open)) != std::string::npos; ++open) {
        const std::size_t close = name.find('}', open);
        const std::string inside =
            close == std::string::npos ? name.substr(open) : name.substr(open, close + 1 - open);
        if (inside != "{store}" && inside != "{group}" && inside != "{listed}" && inside != "{address}")
            at.wrong("expected_name", "'" + inside +
                                          "' stands for nothing; there are {store}, {group}, {listed}, "
                                          "{address}");
    }
    if (name.find('{') == std::string::npos && name.find('*') != std::string::npos)
        at.wrong("expected_name", "is a pattern; the name of one store is wanted");

    const Spot pace = at.inside("pace", tls.pace());
    pace.within("at_once", 1, 1024);
    pace.within("at_once_per_store", 1, 1024);
    if (tls.pace().at_once_per_store() > tls.pace().at_once())
        pace.wrong(tls.pace().has_at_once_per_store() ? "at_once_per_store" : "at_once",
                   "to one store (" + std::to_string(tls.pace().at_once_per_store()) +
                       ") more than in all (" + std::to_string(tls.pace().at_once()) + ")");
    pace.within("share_percent", 1, 90);
    pace.within("renew_within_seconds", 1, 3600);
}

}  // namespace

namespace {

void check(const fittings::Tier& tier, const Spot& at) {
    at.within("round_ms", 50, 10'000);
    at.within("answer_ms", 10, std::max(10u, tier.round_ms() / 4 * 3));
    at.within("good_for_ms", std::min(60'000u, 2 * tier.round_ms()), 60'000);
    at.within("unconfirmed", 1, 20);
}

void check(const fittings::Owners& owners, bool tier, const Spot& at) {
    if (!tier) at.wrong("on", "there is no tier: give a block `tier`, too");
    at.within("lease_ms", 500, 60'000);
    at.within("margin_ms", 20, std::max(20u, owners.lease_ms() / 4));
    at.within("spread_seconds", 1, 3'600);
    at.within("cede_ms", 500, 5'000);
    at.within("assured_percent", 5, 100);
    const auto twice = [&](const char* field, auto list) {
        std::sort(list.begin(), list.end());
        if (std::adjacent_find(list.begin(), list.end()) != list.end()) at.wrong(field, "names one twice");
    };
    twice("electors", owners.electors());
    twice("electors_before", owners.electors_before());
    if (owners.electors_size() == 0 && owners.electors_before_size() > 0)
        at.wrong("electors_before", "goes with `electors`, which is left out");
}

}  // namespace

fittings::Fittings readFittings(const std::string& file) {
    std::ifstream in(file, std::ios::binary);
    if (!in) throw Misfit(file + ": can't be read");
    const std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    if (in.bad()) throw Misfit(file + ": can't be read");
    Faults faults(file);
    TextFormat::ParseInfoTree tree;
    TextFormat::Parser parser;
    parser.RecordErrorsTo(&faults);
    parser.WriteLocationsTo(&tree);
    fittings::Fittings read;
    pb::io::ArrayInputStream bytes(text.data(), static_cast<int>(text.size()));
    const bool whole = parser.Parse(&bytes, &read);
    faults.throwIfAny();
    if (!whole) throw Misfit(file + ":1:1: not of the form that is read here");
    const Spot at(read, &tree, faults);
    if (read.has_tls_to_stores())
        check(*read.mutable_tls_to_stores(), at.inside("tls_to_stores", read.tls_to_stores()),
              std::filesystem::path(file).parent_path());
    if (read.has_tier()) check(read.tier(), at.inside("tier", read.tier()));
    if (read.has_owners()) check(read.owners(), read.has_tier(), at.inside("owners", read.owners()));
    faults.throwIfAny();
    return read;
}

}  // namespace granitereel
