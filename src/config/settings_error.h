/** Errors in settings: a kind for the program, and a field and a line of text for operators. */
#ifndef MV_SETTINGS_ERROR_H
#define MV_SETTINGS_ERROR_H
#include <glib.h>

/** The kind of an error. */
typedef enum {
    MV_SETTINGS_UNREADABLE,   /* a file cannot be read, or is not valid TOML or YAML */
    MV_SETTINGS_MISSING,      /* a required field is absent */
    MV_SETTINGS_WRONG_TYPE,   /* a field's value has the wrong type or form */
    MV_SETTINGS_OUT_OF_RANGE, /* a field's value is outside its bounds */
    MV_SETTINGS_INCONSISTENT  /* a field's value contradicts another field */
} mv_settings_error_kind;

/** An error in one field, or in a whole file. */
typedef struct {
    mv_settings_error_kind kind;
    char *field; /* path of the field or of the file; owned */
    char *text;  /* one line for operators that begins with `field`; owned */
} mv_settings_error;

/** Returns a new error whose text is "field: reason". The caller frees it. */
mv_settings_error *mv_settings_error_new(mv_settings_error_kind kind, const char *field,
                                         const char *reason);

/** Frees an error. NULL is allowed. */
void mv_settings_error_free(mv_settings_error *error);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(mv_settings_error, mv_settings_error_free)
#endif
