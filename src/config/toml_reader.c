/** Reads fields of the platform's file and checks each one. */
#include "config/toml_reader.h"

#include <math.h>

#define ENDPOINT_TEXT_SIZE 80

void mv_toml_reader_fail(mv_toml_reader *reader, mv_settings_error_kind kind, const char *path,
                         const char *reason)
{
    if (!reader->error)
        reader->error = mv_settings_error_new(kind, path, reason);
}

void mv_toml_read_text(mv_toml_reader *reader, const char *path, char *out, size_t size)
{
    const mv_toml_status status = mv_toml_string(reader->document, path, out, size);
    if (status == MV_TOML_MISSING)
        mv_toml_reader_fail(reader, MV_SETTINGS_MISSING, path,
                            "missing; must be a non-empty string");
    else if (status == MV_TOML_WRONG_TYPE || !*out)
        mv_toml_reader_fail(
            reader, MV_SETTINGS_WRONG_TYPE, path,
            "must be a non-empty string within the field's length limit; it is empty, too "
            "long or not a string");
}

void mv_toml_read_optional_text(mv_toml_reader *reader, const char *path, char *out, size_t size)
{
    if (mv_toml_string(reader->document, path, out, size) == MV_TOML_WRONG_TYPE)
        mv_toml_reader_fail(
            reader, MV_SETTINGS_WRONG_TYPE, path,
            "must be a string within the field's length limit; it is too long or not a string");
}

void mv_toml_read_endpoint(mv_toml_reader *reader, const char *path, mv_endpoint *out)
{
    char text[ENDPOINT_TEXT_SIZE];
    mv_toml_read_text(reader, path, text, sizeof text);
    if (!reader->error && !mv_endpoint_parse(text, out))
        mv_toml_reader_fail(reader, MV_SETTINGS_WRONG_TYPE, path,
                            "must be a numeric IPv4 address and a port, as in 10.0.0.1:8080");
}

/* Checks the value of a field that is present. Returns the value, or `low` if the field is not a
 * finite number. */
static double check_number(mv_toml_reader *reader, const char *path, mv_toml_status status,
                           double value, double low, double high)
{
    if (status == MV_TOML_WRONG_TYPE || !isfinite(value)) {
        mv_toml_reader_fail(reader, MV_SETTINGS_WRONG_TYPE, path,
                            "must be a finite number; it is not a number, or not finite");
        return low;
    }
    if (value < low || value > high) {
        g_autofree char *reason =
            g_strdup_printf("must be between %g and %g, but is %g", low, high, value);
        mv_toml_reader_fail(reader, MV_SETTINGS_OUT_OF_RANGE, path, reason);
    }
    return value;
}

double mv_toml_read_number(mv_toml_reader *reader, const char *path, double low, double high)
{
    double value = low;
    const mv_toml_status status = mv_toml_number(reader->document, path, &value);
    if (status != MV_TOML_MISSING)
        return check_number(reader, path, status, value, low, high);
    mv_toml_reader_fail(reader, MV_SETTINGS_MISSING, path, "missing; must be a number");
    return low;
}

double mv_toml_read_optional_number(mv_toml_reader *reader, const char *path, double low,
                                    double high, double absent)
{
    double value = absent;
    const mv_toml_status status = mv_toml_number(reader->document, path, &value);
    if (status == MV_TOML_MISSING)
        return absent;
    return check_number(reader, path, status, value, low, high);
}

size_t mv_toml_read_length(mv_toml_reader *reader, const char *path)
{
    size_t length = 0;
    if (mv_toml_count(reader->document, path, &length) == MV_TOML_WRONG_TYPE)
        mv_toml_reader_fail(reader, MV_SETTINGS_WRONG_TYPE, path, "must be a list of tables");
    return length;
}
