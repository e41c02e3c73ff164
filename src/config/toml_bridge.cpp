/** A small C interface to toml++, a C++ parser for TOML. */
#include "config/toml_bridge.h"

#include <cstdio>
#include <exception>
#include <toml++/toml.h>

struct mv_toml {
    toml::table table;
};

extern "C" mv_toml *mv_toml_load(const char *path, char *error, size_t error_size)
{
    try {
        return new mv_toml{toml::parse_file(path)};
    } catch (const toml::parse_error &failure) {
        std::snprintf(error, error_size, "line %u: %s", unsigned(failure.source().begin.line),
                      std::string(failure.description()).c_str());
    } catch (const std::exception &failure) {
        std::snprintf(error, error_size, "%s", failure.what());
    }
    return nullptr;
}

extern "C" void mv_toml_free(mv_toml *document)
{
    delete document;
}

extern "C" mv_toml_status mv_toml_string(const mv_toml *document, const char *path, char *out,
                                         size_t size)
{
    auto node = document->table.at_path(path);
    if (!node)
        return MV_TOML_MISSING;
    auto text = node.value_exact<std::string>();
    if (!text || text->size() + 1 > size || text->find('\0') != std::string::npos)
        return MV_TOML_WRONG_TYPE;
    out[text->copy(out, size - 1)] = '\0';
    return MV_TOML_OK;
}

extern "C" mv_toml_status mv_toml_number(const mv_toml *document, const char *path, double *out)
{
    auto node = document->table.at_path(path);
    if (!node)
        return MV_TOML_MISSING;
    if (!node.is_number())
        return MV_TOML_WRONG_TYPE;
    *out = *node.value<double>();
    return MV_TOML_OK;
}

extern "C" mv_toml_status mv_toml_count(const mv_toml *document, const char *path, size_t *out)
{
    auto node = document->table.at_path(path);
    if (!node)
        return MV_TOML_MISSING;
    auto array = node.as_array();
    if (!array)
        return MV_TOML_WRONG_TYPE;
    *out = array->size();
    return MV_TOML_OK;
}
