/**
 * Names of the HTTP status codes that the service sends or distinguishes.
 *
 * The list has only the codes of the protocol page. MV_HTTP_STATUS_NONE is not an HTTP code: this
 * value stands for a request without any response.
 */
#ifndef MV_HTTP_STATUS_H
#define MV_HTTP_STATUS_H

/** HTTP status codes, and a value for a missing response. */
typedef enum {
    MV_HTTP_STATUS_NONE = 0, /**< no response */
    MV_HTTP_STATUS_OK = 200,
    MV_HTTP_STATUS_CREATED = 201,
    MV_HTTP_STATUS_BAD_REQUEST = 400,
    MV_HTTP_STATUS_NOT_FOUND = 404,
    MV_HTTP_STATUS_CONFLICT = 409, /**< a precondition failed, or an agent refused all commands */
    MV_HTTP_STATUS_GONE = 410,     /**< the service no longer has the revision of a watch */
    MV_HTTP_STATUS_MISDIRECTED = 421,   /**< another controller owns the machine */
    MV_HTTP_STATUS_UNPROCESSABLE = 422, /**< a job that can never run */
    MV_HTTP_STATUS_TOO_MANY_REQUESTS = 429,
    MV_HTTP_STATUS_INTERNAL_ERROR = 500,
    MV_HTTP_STATUS_UNAVAILABLE = 503
} mv_http_status;
#endif
