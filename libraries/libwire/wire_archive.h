#pragma once

#include <bit>
#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <cstring>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>

namespace chivevane {

static_assert(std::endian::native == std::endian::little,
              "The wire format is little-endian; add byte swaps for this machine.");

/// Type of the length prefix of strings and lists on the wire.
using wire_size = std::uint16_t;

/// Serializes values for datagrams in little-endian order, with lengths as `wire_size`. The binary
/// archive of cereal uses eight bytes for every length.
class wire_output_archive : public cereal::OutputArchive<wire_output_archive> {
public:
    wire_output_archive() : OutputArchive{this} {}

    void saveBinary(const void* data, std::streamsize size) // NOLINT: cereal requires this name.
    {
        m_bytes.append(static_cast<const char*>(data), static_cast<std::size_t>(size));
    }

    std::string m_bytes;
};

/// Deserializes the output of `wire_output_archive`. A length that exceeds the number of remaining
/// bytes is rejected before any memory is allocated for it. This is safe since every element takes
/// at least one byte.
class wire_input_archive : public cereal::InputArchive<wire_input_archive> {
public:
    explicit wire_input_archive(std::string_view bytes) : InputArchive{this}, m_remaining{bytes} {}

    void loadBinary(void* data, std::streamsize size) // NOLINT: cereal requires this name.
    {
        const auto length = static_cast<std::size_t>(size);
        if (length > m_remaining.size()) {
            throw cereal::Exception("it ends within a value");
        }
        std::memcpy(data, m_remaining.data(), length);
        m_remaining.remove_prefix(length);
    }

    std::string_view m_remaining; ///< Bytes that have not been read yet.
};

// cereal finds the functions below by argument-dependent lookup and prescribes their names.
// NOLINTBEGIN(readability-identifier-naming)
template <typename Number>
requires std::is_arithmetic_v<Number>
void CEREAL_SAVE_FUNCTION_NAME(wire_output_archive& archive, const Number& value)
{
    archive.saveBinary(&value, sizeof(value));
}

template <typename Number>
requires std::is_arithmetic_v<Number>
void CEREAL_LOAD_FUNCTION_NAME(wire_input_archive& archive, Number& value)
{
    if constexpr (std::is_same_v<Number, bool>) {
        // Bytes other than 0 and 1 are not a valid object representation of a bool.
        std::uint8_t byte = 0;
        archive.loadBinary(&byte, sizeof(byte));
        value = byte != 0;
    }
    else {
        archive.loadBinary(&value, sizeof(value));
    }
}

template <typename Size>
void CEREAL_SAVE_FUNCTION_NAME(wire_output_archive& archive, const cereal::SizeTag<Size>& tag)
{
    if (tag.size > std::numeric_limits<wire_size>::max()) {
        throw cereal::Exception("a list is too long");
    }
    archive(static_cast<wire_size>(tag.size));
}

template <typename Size>
void CEREAL_LOAD_FUNCTION_NAME(wire_input_archive& archive, cereal::SizeTag<Size>& tag)
{
    wire_size size = 0;
    archive(size);
    if (size > archive.m_remaining.size()) {
        throw cereal::Exception("a length exceeds the remaining bytes");
    }
    tag.size = size;
}

template <typename Element>
void CEREAL_SAVE_FUNCTION_NAME(wire_output_archive& archive,
                               const cereal::BinaryData<Element>& block)
{
    archive.saveBinary(block.data, static_cast<std::streamsize>(block.size));
}

template <typename Element>
void CEREAL_LOAD_FUNCTION_NAME(wire_input_archive& archive, cereal::BinaryData<Element>& block)
{
    archive.loadBinary(block.data, static_cast<std::streamsize>(block.size));
}

template <typename Value>
void CEREAL_SAVE_FUNCTION_NAME(wire_output_archive& archive,
                               const cereal::NameValuePair<Value>& pair)
{
    archive(pair.value);
}

template <typename Value>
void CEREAL_LOAD_FUNCTION_NAME(wire_input_archive& archive, cereal::NameValuePair<Value>& pair)
{
    archive(pair.value);
}
// NOLINTEND(readability-identifier-naming)

} // namespace chivevane

CEREAL_SETUP_ARCHIVE_TRAITS(chivevane::wire_input_archive, chivevane::wire_output_archive)
