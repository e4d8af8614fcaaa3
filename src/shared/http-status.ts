/**
 * HTTP statuses that the programs send or handle, defined only here. Numbers and meanings are those of RFC 9110,
 * except 499, which is not registered. What a status means in a particular protocol is documented at its use.
 */

/** The highest valid status (RFC 9110, 15). */
export const LAST_STATUS = 599;
/** Lowest status of a final response; those below (1xx) are interim responses. */
export const FIRST_FINAL_STATUS = 200;
export const STATUS_OK = 200;
export const STATUS_ACCEPTED = 202;
export const STATUS_NO_CONTENT = 204;
/** Lowest status that is not a success: redirections, then errors. */
export const FIRST_UNSUCCESSFUL_STATUS = 300;
export const STATUS_NOT_MODIFIED = 304;
export const STATUS_BAD_REQUEST = 400;
export const STATUS_UNAUTHORIZED = 401;
export const STATUS_NOT_FOUND = 404;
export const STATUS_REQUEST_TIMEOUT = 408;
export const STATUS_CONFLICT = 409;
export const STATUS_GONE = 410;
export const STATUS_PRECONDITION_FAILED = 412;
export const STATUS_TOO_LARGE = 413;
/** The request was meant for another server than the one that received it. */
export const STATUS_MISDIRECTED = 421;
export const STATUS_UNPROCESSABLE = 422;
export const STATUS_TOO_MANY_REQUESTS = 429;
export const STATUS_HEAD_TOO_LARGE = 431;
/** The caller closed its connection first: a convention of proxies, used in logs and metrics only. */
export const STATUS_CALLER_CLOSED = 499;
/** Lowest status of a server error. */
export const FIRST_SERVER_ERROR_STATUS = 500;
export const STATUS_INTERNAL_ERROR = 500;
export const STATUS_BAD_GATEWAY = 502;
export const STATUS_UNAVAILABLE = 503;
export const STATUS_GATEWAY_TIMEOUT = 504;
