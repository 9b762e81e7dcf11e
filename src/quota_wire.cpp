#include "quota_wire.h"

#include <msgpack.hpp>

#include <cmath>

namespace turmericline {

namespace {

// Bounds the memory that decoding a message allocates; a process sends only a few messages a second.
constexpr std::size_t maxRows = 4096;

using Packer = msgpack::packer<msgpack::sbuffer>;

/** Encodes an amount as an integer if possible (one byte up to 127), otherwise as a float: four bytes are enough. */
void packAmount(Packer &packer, double amount)
{
    if (amount >= 0 && amount <= 65535 && amount == std::floor(amount)) {
        packer.pack(static_cast<std::uint32_t>(amount));
    } else {
        packer.pack(static_cast<float>(amount));
    }
}

void packAmounts(Packer &packer, const QuotaAmount &amount)
{
    packAmount(packer, amount.requests);
    packAmount(packer, amount.tokens);
}

void packRow(Packer &packer, const LeaseRequest &row)
{
    const bool hasBalance = row.balance != QuotaAmount{};
    packer.pack_array(hasBalance ? 6 : 4);
    packer.pack(row.workspace);
    packer.pack(row.sequence);
    packAmounts(packer, row.demand);
    if (hasBalance) {
        packAmounts(packer, row.balance);
    }
}

void packRow(Packer &packer, const LeaseGrant &row)
{
    packer.pack_array(4);
    packer.pack(row.workspace);
    packer.pack(row.sequence);
    packAmounts(packer, row.amount);
}

void packRow(Packer &packer, const ShareRequest &row)
{
    packer.pack(std::make_tuple(row.workspace, row.from, row.ownership, row.sequence, row.held, row.wanted));
}

void packRow(Packer &packer, const ShareReply &row)
{
    packer.pack(std::make_tuple(row.workspace, row.from, row.ownership, row.sequence, row.lent));
}

void packRow(Packer &packer, const ShareProbe &row)
{
    packer.pack(std::make_tuple(row.workspace, row.from));
}

template<typename Row>
void packRows(Packer &packer, const std::vector<Row> &rows)
{
    packer.pack_array(static_cast<std::uint32_t>(rows.size()));
    for (const Row &it : rows) {
        packRow(packer, it);
    }
}

/** Reads the elements of an array in order. Throws msgpack::type_error for a wrong type or a missing element. */
class RowReader
{
public:
    explicit RowReader(const msgpack::object &object)
    {
        if (object.type != msgpack::type::ARRAY) {
            throw msgpack::type_error();
        }
        m_next = object.via.array.ptr;
        m_left = object.via.array.size;
    }

    std::size_t left() const
    {
        return m_left;
    }

    const msgpack::object &object()
    {
        if (m_left == 0) {
            throw msgpack::type_error();
        }
        --m_left;
        return *m_next++;
    }

    template<typename T>
    T number()
    {
        return object().as<T>();
    }

    QuotaAmount signedAmounts()
    {
        const QuotaAmount amount{number<double>(), number<double>()};
        if (!std::isfinite(amount.requests) || !std::isfinite(amount.tokens)) {
            throw msgpack::type_error();
        }
        return amount;
    }

    QuotaAmount amounts()
    {
        const QuotaAmount amount = signedAmounts();
        if (amount.requests < 0 || amount.tokens < 0) {
            throw msgpack::type_error();
        }
        return amount;
    }

private:
    const msgpack::object *m_next = nullptr;
    std::size_t m_left = 0;
};

void readRow(RowReader &reader, LeaseRequest &row)
{
    row = {reader.number<WorkspaceKey>(), reader.number<std::uint32_t>(), reader.amounts(), {}};
    if (reader.left() > 0) {
        row.balance = reader.signedAmounts();
    }
}

void readRow(RowReader &reader, LeaseGrant &row)
{
    row = {reader.number<WorkspaceKey>(), reader.number<std::uint32_t>(), reader.amounts()};
}

void readRow(RowReader &reader, ShareRequest &row)
{
    row = {reader.number<WorkspaceKey>(),
           reader.number<DomainIndex>(),
           reader.number<EntryKey>(),
           reader.number<std::uint32_t>(),
           reader.number<ShareUnits>(),
           reader.number<ShareUnits>()};
    if (row.held > wholeShare || row.wanted > 2 * wholeShare) {
        throw msgpack::type_error();
    }
}

void readRow(RowReader &reader, ShareReply &row)
{
    row = {reader.number<WorkspaceKey>(),
           reader.number<DomainIndex>(),
           reader.number<EntryKey>(),
           reader.number<std::uint32_t>(),
           reader.number<ShareUnits>()};
    if (row.lent > wholeShare) {
        throw msgpack::type_error();
    }
}

void readRow(RowReader &reader, ShareProbe &row)
{
    row = {reader.number<WorkspaceKey>(), reader.number<DomainIndex>()};
}

template<typename Row>
void readRows(RowReader &message, std::vector<Row> &rows)
{
    RowReader list(message.object());
    if (list.left() > maxRows) {
        throw msgpack::type_error();
    }
    rows.resize(list.left());
    for (Row &it : rows) {
        RowReader reader(list.object());
        readRow(reader, it);
    }
}

} // namespace

std::string encodeQuotaMessage(const QuotaMessage &message)
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packer.pack_array(6);
    packer.pack(message.sender);
    packRows(packer, message.leaseRequests);
    packRows(packer, message.leaseGrants);
    packRows(packer, message.shareRequests);
    packRows(packer, message.shareReplies);
    packRows(packer, message.shareProbes);
    return {buffer.data(), buffer.size()};
}

std::optional<QuotaMessage> decodeQuotaMessage(std::string_view bytes)
{
    try {
        const msgpack::unpack_limit limit(maxRows, 0, 0, 0, 0, 4);
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
        RowReader reader(handle.get());
        QuotaMessage message;
        message.sender = reader.number<EntryKey>();
        readRows(reader, message.leaseRequests);
        readRows(reader, message.leaseGrants);
        readRows(reader, message.shareRequests);
        readRows(reader, message.shareReplies);
        readRows(reader, message.shareProbes);
        return message;
    } catch (const msgpack::unpack_error &) {
        return std::nullopt;
    } catch (const msgpack::type_error &) {
        return std::nullopt;
    }
}

} // namespace turmericline
